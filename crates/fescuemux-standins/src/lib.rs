//! Stand-ins for the external systems of the fleet, with injectable faults, for tests and
//! measurements.
//!
//! This crate must not depend on the core or the daemon.

pub mod platform;
pub mod raw;
pub mod server;
pub mod store;
