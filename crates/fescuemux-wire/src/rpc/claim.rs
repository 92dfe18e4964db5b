//! Wire types of idempotency-key claims.

use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, RegistryEntry};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Response of a home to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponseWire {
    /// The claimant may run the request.
    Granted,
    /// Another request claimed the key first.
    Duplicate(KeyOutcomeWire),
    /// A previous home may have granted the key.
    Unknown,
    /// The creation time of the key is in the future.
    FromFuture,
    /// The registry is full.
    Full,
    /// The home may not grant claims at present; the request was not run.
    Refused,
}

/// Outcome of a request, as known to the home of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcomeWire {
    /// The request may be running.
    InProgress,
    /// The request may have run.
    Unknown,
    /// The request ran and its response had this HTTP status.
    Ran(u16),
}

/// Registry entry sent to another home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryEntryWire {
    /// Service and key, joined by a line feed.
    pub key: String,
    /// Request that holds the key.
    pub holder: u128,
    /// Known outcome of that request.
    pub outcome: KeyOutcomeWire,
    /// Age of the entry in milliseconds.
    pub age_ms: u64,
}

impl From<RegistryEntry> for RegistryEntryWire {
    fn from(entry: RegistryEntry) -> RegistryEntryWire {
        RegistryEntryWire {
            key: entry.key,
            holder: entry.holder,
            outcome: entry.outcome.into(),
            age_ms: u64::try_from(entry.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<RegistryEntryWire> for RegistryEntry {
    fn from(wire: RegistryEntryWire) -> RegistryEntry {
        RegistryEntry {
            key: wire.key,
            holder: wire.holder,
            outcome: wire.outcome.into(),
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

impl From<ClaimResponse> for ClaimResponseWire {
    fn from(claim: ClaimResponse) -> ClaimResponseWire {
        match claim {
            ClaimResponse::Granted => ClaimResponseWire::Granted,
            ClaimResponse::Duplicate { outcome } => ClaimResponseWire::Duplicate(outcome.into()),
            ClaimResponse::Unknown => ClaimResponseWire::Unknown,
            ClaimResponse::FromFuture => ClaimResponseWire::FromFuture,
            ClaimResponse::Full => ClaimResponseWire::Full,
        }
    }
}

impl From<KeyOutcome> for KeyOutcomeWire {
    fn from(outcome: KeyOutcome) -> KeyOutcomeWire {
        match outcome {
            KeyOutcome::InProgress => KeyOutcomeWire::InProgress,
            KeyOutcome::Unknown => KeyOutcomeWire::Unknown,
            KeyOutcome::Ran { status } => KeyOutcomeWire::Ran(status),
        }
    }
}

impl From<KeyOutcomeWire> for KeyOutcome {
    fn from(wire: KeyOutcomeWire) -> KeyOutcome {
        match wire {
            KeyOutcomeWire::InProgress => KeyOutcome::InProgress,
            KeyOutcomeWire::Unknown => KeyOutcome::Unknown,
            KeyOutcomeWire::Ran(status) => KeyOutcome::Ran { status },
        }
    }
}
