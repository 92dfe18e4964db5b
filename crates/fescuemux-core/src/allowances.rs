//! Allowances: rates that a customer may use over all instances together.
//!
//! Must not know sockets, message formats or how configurations are stored.

mod allowance;

pub use allowance::Allowance;
