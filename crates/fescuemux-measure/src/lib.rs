//! Seeded measurements of the core parts on a virtual clock: tables, JSON and plots.
//!
//! Must not know sockets or the threads of a daemon.

pub mod fleet;
pub mod overload;
//! Measurements of the decision parts on seeded traces and a virtual clock.
//!
//! Must not know sockets, threads of a daemon or wall-clock time.

pub mod detection;
