//! Response of a home to a claim, and the state of a claimed key.

use crate::base::{RequestId, ServiceId, Verdict};
use std::time::Instant;

/// Response of a home to a claim for an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The claimant may run the request. No other claimant of the key is granted the claim until
    /// it is released as not run.
    Granted,
    /// Another request holds or held the key.
    Duplicate {
        /// Known outcome of that request.
        outcome: KeyOutcome,
    },
    /// An earlier home may have granted this key; running it again could run it twice.
    Unknown,
    /// The creation time in the key is in the future by more than the permitted clock skew.
    FromFuture,
    /// The registry holds its maximum number of keys. The request was not run.
    Full,
}

/// Outcome of the request that first claimed a key, as known to the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The claim is not settled; the request may be running.
    InProgress,
    /// The claimant could not tell whether the request ran.
    Unknown,
    /// The request ran and its response had this HTTP status.
    Ran {
        /// HTTP status of the response.
        status: u16,
    },
}

impl KeyOutcome {
    /// Returns the verdict in the response to a duplicate request.
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
    /// Known outcome of that request.
    pub outcome: KeyOutcome,
    /// Time of the claim or of its last settlement. The retention starts here.
    pub since: Instant,
}

/// Registry entry exported to another home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Service and key, joined by a line feed.
    pub key: String,
    /// Request that holds the key.
    pub holder: RequestId,
    /// Known outcome of that request.
    pub outcome: KeyOutcome,
    /// Age of the entry when it was exported.
    pub age: std::time::Duration,
}

impl RegistryEntry {
    /// Returns the service and the key, or `None` if the entry is malformed.
    pub fn service_and_key(&self) -> Option<(ServiceId, &str)> {
        let (service, key) = self.key.split_once('\n')?;
        Some((service.into(), key))
    }
}
