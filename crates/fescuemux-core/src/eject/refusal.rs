//! Why the ledger refuses a change.

use crate::base::{Incarnation, Verdict};

/// Refusal of a change to a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerRefusal {
    /// The ejection would push healthy capacity below the floor.
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
        /// Incarnation of the guard that asked.
        given: Incarnation,
        /// Newest incarnation the ledger knows.
        newest: Incarnation,
    },
    /// The server is not ejected.
    #[error("server is not in the ledger")]
    NotEjected,
}

impl LedgerRefusal {
    /// A refused ledger change runs nothing.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}
