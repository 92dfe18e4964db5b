//! Refusals of ledger changes.

use crate::base::{Incarnation, Verdict};

/// Reason why a [`Ledger`](super::Ledger) refuses a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerRefusal {
    /// The ejection would leave less healthy capacity than the floor.
    #[error("ejection would leave {left} slots, below the floor of {floor}")]
    BelowFloor {
        /// Healthy slots that would be left.
        left: u32,
        /// Floor in force.
        floor: u32,
    },
    /// A newer guard of the same server has changed the ledger.
    #[error("guard incarnation {given} is older than {newest}")]
    StaleIncarnation {
        /// Incarnation of the guard that requested the change.
        given: Incarnation,
        /// Newest incarnation of the server's guard in the ledger.
        newest: Incarnation,
    },
    /// The server is not ejected.
    #[error("server is not in the ledger")]
    NotEjected,
}

impl LedgerRefusal {
    /// Returns the verdict of a refused change, which is always "not run".
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}
