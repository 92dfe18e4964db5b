//! Ejection of sick backend servers and their return.
//!
//! [`HealthTracker`] is the state machine of one backend server; [`Ledger`] is the fleet-wide record
//! that keeps a service's healthy capacity at or above its floor. Must not know how evidence is
//! gathered, how a ledger is stored or which ingress sends a request.

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
