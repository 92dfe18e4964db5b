//! Seeded measurements of the core parts on a virtual clock: tables, JSON and plots.
//!
//! Must not know sockets, the threads of a daemon or wall-clock time.

pub mod detection;
pub mod fleet;
pub mod history;
pub mod overload;
