//! Answers of a home to a claim, and the state of a claimed key.

use crate::base::{RequestId, ServiceId, Verdict};
use std::time::Instant;

/// Answer of a home to a claim for an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The claimant may run the request. No other claimant of the key gets this answer until the
    /// claim is released as not run.
    Granted,
    /// Another request holds or held the key.
    Duplicate {
        /// What is known of that request.
        outcome: KeyOutcome,
    },
    /// An earlier home may have granted this key; running it again could run it twice.
    Unknown,
    /// The key names a creation time in the future, beyond the permitted clock skew.
    FromFuture,
    /// The registry holds its maximum number of keys. Nothing ran.
    Full,
}

/// What a home knows of the request that claimed a key first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The claim is open: the request may be running.
    InProgress,
    /// The claimant could not tell whether the request ran.
    Unknown,
    /// The request ran and was answered with this HTTP status.
    Ran {
        /// HTTP status of the answer.
        status: u16,
    },
}

impl KeyOutcome {
    /// Returns the verdict that a duplicate is answered with.
    pub fn verdict(self) -> Verdict {
        match self {
            KeyOutcome::InProgress | KeyOutcome::Unknown => Verdict::MayHaveRun,
            KeyOutcome::Ran { .. } => Verdict::Ran,
        }
    }
}

/// State of a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimState {
    /// Request that holds the key.
    pub holder: RequestId,
    /// What is known of it.
    pub outcome: KeyOutcome,
    /// Time of the claim or of its last settlement; retention counts from here.
    pub since: Instant,
}

/// One entry of a registry on its way to a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Service and key, joined by the registry.
    pub key: String,
    /// Request that holds the key.
    pub holder: RequestId,
    /// What is known of it.
    pub outcome: KeyOutcome,
    /// Age of the entry when it was exported.
    pub age: std::time::Duration,
}

impl RegistryEntry {
    /// Returns the service and the key.
    pub fn service_and_key(&self) -> Option<(ServiceId, &str)> {
        let (service, key) = self.key.split_once('\n')?;
        Some((service.into(), key))
    }
}
