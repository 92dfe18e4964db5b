//! Enums of membership records. New variants must be appended, because the encoding is the variant
//! index.

use fescuemux_core::{base, member};
use serde::{Deserialize, Serialize};

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Responds to probes.
    Alive,
    /// Failed a probe or was reported dead by another member, but may still refute the suspicion.
    Suspect,
    /// Announced its planned stop.
    Leaving,
    /// Did not refute the suspicion in time, or stopped after announcing its planned stop.
    Dead,
}

/// Phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Warming up; caches are not yet filled.
    Cold,
    /// Takes its full share of requests.
    Ready,
    /// Finishes its running requests and takes no new requests.
    Draining,
}

/// Health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// Takes requests of every kind.
    Serving,
    /// Takes last-resort requests and a limited number of trial requests.
    Steered,
    /// Takes no requests.
    Ejected,
    /// Takes trial requests, a growing share of normal requests, and all or the same share of
    /// last-resort requests.
    Probation,
}

macro_rules! convert_variants {
    ($wire:ident, $core:path, $($variant:ident),+) => {
        impl From<$core> for $wire {
            fn from(value: $core) -> $wire {
                use $core as Core;
                match value { $(Core::$variant => $wire::$variant),+ }
            }
        }
        impl From<$wire> for $core {
            fn from(value: $wire) -> $core {
                use $core as Core;
                match value { $($wire::$variant => Core::$variant),+ }
            }
        }
    };
}

convert_variants!(State, member::MemberState, Alive, Suspect, Leaving, Dead);
convert_variants!(Phase, base::Phase, Cold, Ready, Draining);
convert_variants!(Health, member::ServerHealth, Serving, Steered, Ejected, Probation);
