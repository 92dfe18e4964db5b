//! Measurements of the decision parts on a virtual clock.
//!
//! Must not know sockets.

pub mod overload;
//! Seeded measurements of the core parts on a virtual clock.
//!
//! The crate must not know sockets or threads of a daemon.

pub mod fleet;
