//! Measurements of the decision parts on seeded traces and a virtual clock.
//!
//! Must not know sockets, threads of a daemon or wall-clock time.

pub mod detection;
