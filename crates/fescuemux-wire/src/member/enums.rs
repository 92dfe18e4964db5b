//! Enums of membership records. New variants must be appended, because the encoding is the variant
//! index.

use fescuemux_core::{base, member};
use serde::{Deserialize, Serialize};

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe.
    Suspect,
    /// Announced its planned stop.
    Leaving,
    /// Did not refute the suspicion in time, or stopped after announcing it.
    Dead,
}

/// Phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Warming up; caches are not yet filled.
    Cold,
    /// Takes its full share of requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
}

/// Health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// Takes normal requests.
    Serving,
    /// Takes only last-resort requests.
    Steered,
    /// Takes no requests.
    Ejected,
    /// Takes trial requests.
    Probation,
}

macro_rules! same_variants {
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

same_variants!(State, member::MemberState, Alive, Suspect, Leaving, Dead);
same_variants!(Phase, base::Phase, Cold, Ready, Draining);
same_variants!(Health, member::ServerHealth, Serving, Steered, Ejected, Probation);
