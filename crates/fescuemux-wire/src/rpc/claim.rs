//! Wire types of idempotency-key claims.

use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, RegistryEntry};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Response of a home to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponseWire {
    /// The claimant may run the request.
    Granted,
    /// The key is claimed by another request, or by this request and already settled.
    Duplicate(KeyOutcomeWire),
    /// An earlier claim for the key may have been granted by another home, by this home before a
    /// restart, or under an entry that has expired.
    Unknown,
    /// The creation time of the key is in the future by more than the permitted clock skew.
    FromFuture,
    /// The registry holds its maximum number of keys; the request was not run.
    Full,
    /// The called daemon may not grant a claim for the key at present; the request was not run.
    Refused,
}

/// Outcome of the request that holds a key, as known to the home of the key.
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
    /// Service and idempotency key, joined by a line feed.
    pub key: String,
    /// Request that holds the key.
    pub holder: u128,
    /// Outcome of the holder, as known to the home.
    pub outcome: KeyOutcomeWire,
    /// Time from the last change of the entry to its export, in milliseconds.
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
    fn from(response: ClaimResponse) -> ClaimResponseWire {
        match response {
            ClaimResponse::Granted => ClaimResponseWire::Granted,
            ClaimResponse::Duplicate { outcome } => ClaimResponseWire::Duplicate(outcome.into()),
            ClaimResponse::PossiblyClaimed => ClaimResponseWire::Unknown,
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
