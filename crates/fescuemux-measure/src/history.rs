//! Records histories of simulated concurrent runs of the components of `fescuemux-core`, and checks
//! the histories.
//!
//! A run drives five instances, their backend servers, callers and operators on a virtual clock
//! with a seeded scheduler and one or two faults, or with faults of given kinds. A history holds
//! what callers, backend servers and operators observe, the starts and ends of processes and
//! faults, ledger writes, the guards' refusals and the activated configuration generations. Each
//! checker is a pure function of the history.
//!
//! This module must not depend on sockets, threads or the daemon.

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
