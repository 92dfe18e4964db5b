//! Stand-ins for the outside systems of the fleet, with switchable faults, for tests and
//! measurements.
//!
//! Must not know core decisions or the daemon.

pub mod platform;
pub mod server;
pub mod store;
