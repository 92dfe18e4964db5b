//! Records histories of simulated concurrent runs of the core components and checks them.
//!
//! A run drives a few instances, their backend servers, callers and operators on a virtual clock
//! with a seeded scheduler and one or two faults. A history holds only what callers, backend
//! servers and operators can observe, and the records in the store. Each checker is a pure
//! function of the history. Must not depend on sockets, threads or the daemon.

mod broken;
mod check;
mod config;
mod events;
mod fault;
mod guard;
mod homes;
mod ingress;
mod instance;
mod ledger;
mod lifecycle;
mod members;
mod record;
mod run;
mod store;
mod world;

#[cfg(test)]
mod tests;

pub use broken::InjectedBug;
pub use check::{Property, Violation, check};
pub use fault::{Fault, FaultKind};
pub use record::{Event, HistoryEntry};
pub use run::{RunResult, run, run_with};
