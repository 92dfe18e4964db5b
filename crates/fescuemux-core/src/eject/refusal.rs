//! Refusals of ledger changes.

use crate::base::{Incarnation, Verdict};

/// Reason why a [`Ledger`](super::Ledger) refuses a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerRefusal {
    /// The ejection would leave less healthy capacity than the floor.
    #[error("ejection would leave {left} slots, below the floor of {floor}")]
    BelowFloor {
        /// Healthy slots that the ejection would leave.
        left: u32,
        /// Floor of the service in force, in slots.
        floor: u32,
    },
    /// A guard with a newer incarnation has changed the ledger for the same server.
    #[error("guard incarnation {given} is older than {newest}")]
    StaleIncarnation {
        /// Incarnation of the guard that requested the change.
        given: Incarnation,
        /// Newest incarnation of the server's guard in the ledger.
        newest: Incarnation,
    },
    /// The server to release has no entry in the ledger.
    #[error("server is not in the ledger")]
    NotEjected,
}

impl LedgerRefusal {
    /// Returns the verdict of a refused change. A refused change has no effect, so the verdict is
    /// always "not run".
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}
