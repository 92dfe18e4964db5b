//! Wire types of idempotency-key claims.

use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, RegistryEntry};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Answer of a home to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimWire {
    /// The claimant may run the request.
    Granted,
    /// Another request holds or held the key.
    Duplicate(OutcomeWire),
    /// An earlier home may have granted the key.
    Unknown,
    /// The key's creation time is in the future.
    FromFuture,
    /// The registry is full.
    Full,
    /// The home may not grant claims now; nothing ran.
    Refused,
}

/// What a home knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OutcomeWire {
    /// May be running.
    InProgress,
    /// May have run.
    Unknown,
    /// Ran with this HTTP status.
    Ran(u16),
}

/// One key of a registry on its way to another home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Service and key, joined by the registry.
    pub key: String,
    /// Request that holds the key.
    pub holder: u128,
    /// What is known of it.
    pub outcome: OutcomeWire,
    /// Age in milliseconds.
    pub age_ms: u64,
}

impl From<RegistryEntry> for KeyEntry {
    fn from(entry: RegistryEntry) -> KeyEntry {
        KeyEntry {
            key: entry.key,
            holder: entry.holder,
            outcome: entry.outcome.into(),
            age_ms: u64::try_from(entry.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<KeyEntry> for RegistryEntry {
    fn from(wire: KeyEntry) -> RegistryEntry {
        RegistryEntry {
            key: wire.key,
            holder: wire.holder,
            outcome: wire.outcome.into(),
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

impl From<ClaimResponse> for ClaimWire {
    fn from(claim: ClaimResponse) -> ClaimWire {
        match claim {
            ClaimResponse::Granted => ClaimWire::Granted,
            ClaimResponse::Duplicate { outcome } => ClaimWire::Duplicate(outcome.into()),
            ClaimResponse::Unknown => ClaimWire::Unknown,
            ClaimResponse::FromFuture => ClaimWire::FromFuture,
            ClaimResponse::Full => ClaimWire::Full,
        }
    }
}

impl From<KeyOutcome> for OutcomeWire {
    fn from(outcome: KeyOutcome) -> OutcomeWire {
        match outcome {
            KeyOutcome::InProgress => OutcomeWire::InProgress,
            KeyOutcome::Unknown => OutcomeWire::Unknown,
            KeyOutcome::Ran { status } => OutcomeWire::Ran(status),
        }
    }
}

impl From<OutcomeWire> for KeyOutcome {
    fn from(wire: OutcomeWire) -> KeyOutcome {
        match wire {
            OutcomeWire::InProgress => KeyOutcome::InProgress,
            OutcomeWire::Unknown => KeyOutcome::Unknown,
            OutcomeWire::Ran(status) => KeyOutcome::Ran { status },
        }
    }
}
