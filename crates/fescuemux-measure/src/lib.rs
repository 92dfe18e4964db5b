//! Seeded measurements of the core parts on a virtual clock: tables, JSON and plots.
//!
//! Must not know sockets or the threads of a daemon.

pub mod fleet;
pub mod history;
pub mod overload;
