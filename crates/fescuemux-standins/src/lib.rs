//! Stand-ins for the systems around the fleet, for tests, demos and measurements.
//!
//! The crate must not know core decisions or the daemon.

pub mod server;
