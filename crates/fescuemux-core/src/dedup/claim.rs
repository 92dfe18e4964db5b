//! Response of a home to a claim, and the state of a claimed key.

use crate::base::{RequestId, ServiceId, Verdict};
use std::time::Instant;

/// Response of a home to a claim for an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The claimant may run the request. No other request is granted the key until the claim is
    /// released as not run or expires.
    Granted,
    /// The key is claimed by another request, or by this request and already settled.
    Duplicate {
        /// Outcome of the request that holds the key, as known to the home.
        outcome: KeyOutcome,
    },
    /// An earlier claim for the key may have been granted by another home, by this home before a
    /// restart, or under an entry that has expired. The request could run twice.
    PossiblyClaimed,
    /// The creation time in the key is in the future by more than the permitted clock skew.
    FromFuture,
    /// The registry holds its maximum number of keys. The request was not run.
    Full,
}

/// Outcome of the request that holds a key, as known to the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// No outcome has been reported to the home yet; the request may be running.
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
    /// Outcome of the holder, as known to the home.
    pub outcome: KeyOutcome,
    /// Time of the claim or of its last settlement. The retention starts at this time.
    pub changed_at: Instant,
}

/// Registry entry exported to another home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Service and idempotency key, joined by a line feed.
    pub key: String,
    /// Request that holds the key.
    pub holder: RequestId,
    /// Outcome of the holder, as known to the home.
    pub outcome: KeyOutcome,
    /// Time from the last change of the entry to its export.
    pub age: std::time::Duration,
}

impl RegistryEntry {
    /// Returns the service and the idempotency key, or `None` if the entry is malformed.
    pub fn service_and_key(&self) -> Option<(ServiceId, &str)> {
        let (service, key) = self.key.split_once('\n')?;
        Some((service.into(), key))
    }
}
