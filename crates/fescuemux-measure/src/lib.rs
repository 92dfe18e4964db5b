//! Seeded simulations of the components of `fescuemux-core` on a virtual clock, with reports as
//! tables, JSON and plots.
//!
//! This crate must not depend on sockets, daemon threads or wall-clock time.

pub mod detection;
pub mod fleet;
pub mod history;
pub mod overload;
