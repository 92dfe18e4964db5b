//! Requests of the health state machine to its daemon, and the answers.

use super::health::HealthState;

/// Request of a [`HealthTracker`](super::HealthTracker) to its daemon. A permit is an entry of the
/// server in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Add the server to the ledger; answer with
    /// [`HealthTracker::on_permit_answer`](super::HealthTracker::on_permit_answer).
    RequestPermit,
    /// Remove the server from the ledger; answer with [`PermitAnswer::Released`] once the ledger is
    /// known to have no entry for the server. Repeated until that answer.
    ReleasePermit,
    /// Discard the detector's evidence, because from now on only requests during probation count.
    ResetEvidence,
    /// Publish the new state in the server's record.
    Publish {
        /// Previous state.
        from: HealthState,
        /// New state.
        to: HealthState,
    },
}

/// Answer to [`Action::RequestPermit`] or [`Action::ReleasePermit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The ledger has an entry for the server under the guard's incarnation, and
    /// [`Ledger::satisfies_floor`](super::Ledger::satisfies_floor) is true.
    Granted,
    /// The ledger refused the change, usually because healthy capacity would fall below the floor.
    /// An earlier entry that still exists is reported with
    /// [`HealthTracker::on_ledger_read`](super::HealthTracker::on_ledger_read).
    Refused,
    /// The store did not answer, so the ledger may or may not have an entry for the server.
    StoreUnavailable,
    /// The ledger is known to have no entry for the server.
    Released,
}
