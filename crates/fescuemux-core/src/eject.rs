//! Ejection of faulty backend servers and their return to service.
//!
//! [`HealthTracker`] is the state machine of one backend server. [`Ledger`] is the fleet-wide
//! record of ejections that keeps the healthy capacity of a service at or above its floor. The
//! module is independent of how evidence is collected, how a ledger is stored and which ingress
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
