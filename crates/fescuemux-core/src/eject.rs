//! Ejection of faulty backend servers and their return to service.
//!
//! [`HealthTracker`] is the state machine of one backend server in its guard. [`Ledger`] is the
//! fleet-wide record of the ejected servers of one service. The floor of a service is the healthy
//! capacity that ejections must leave. A guard may eject its server only with a permit: an entry in
//! the ledger, which is refused if it would reduce the healthy capacity below the floor.
//!
//! The module is independent of how evidence is collected, how a ledger is stored and which ingress
//! sends a request.

mod action;
mod admission;
mod capacity;
mod config;
mod health;
mod hold;
mod ledger;
mod probation;
mod refusal;

#[cfg(test)]
mod tests;

pub use crate::base::RequestKind;
pub use action::{Action, PermitAnswer};
pub use admission::{Admission, RefuseReason};
pub use capacity::{ServerCapacity, ServiceCapacity};
pub use config::HealthConfig;
pub use health::{HealthState, HealthTracker};
pub use ledger::{Fence, Ledger, LedgerEntry};
pub use refusal::LedgerRefusal;
