//! What a state machine asks of its daemon, and the daemon's answers.

use super::health::HealthState;

/// Request of a [`HealthTracker`](super::HealthTracker) to its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the server into the ledger; answer with
    /// [`HealthTracker::on_permit_answer`](super::HealthTracker::on_permit_answer).
    RequestPermit,
    /// Remove the server from the ledger; answer with [`PermitAnswer::Released`] once it is
    /// known to be absent. Repeated until that answer.
    ReleasePermit,
    /// Discard the detector's evidence, because trial requests alone decide from now on.
    ResetEvidence,
    /// Publish the new state in the server's record.
    Publish {
        /// State before.
        from: HealthState,
        /// State now.
        to: HealthState,
    },
}

/// Answer to [`Action::RequestPermit`] or [`Action::ReleasePermit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The ledger holds the server under the guard's incarnation, and
    /// [`Ledger::satisfies_floor`](super::Ledger::satisfies_floor) is true of it.
    Granted,
    /// The ledger refused, usually because the floor would be violated. An entry left from
    /// earlier is reported with [`HealthTracker::on_ledger_read`](super::HealthTracker::on_ledger_read).
    Refused,
    /// The store did not answer, so the ledger may or may not hold the server.
    StoreUnavailable,
    /// The ledger is known not to hold the server.
    Released,
}
