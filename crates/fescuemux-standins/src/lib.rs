//! Stand-ins for the systems around the fleet, for tests, demos and measurements.
//!
//! The crate must not know core decisions or the daemon.

pub mod server;
//! Stand-ins for the outside systems of the fleet, with switchable faults, for tests and
//! measurements.
//!
//! Must not know core decisions or the daemon.

pub mod store;
