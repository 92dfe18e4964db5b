//! Decisions of the proxy fleet: detection, ejection, routing, admission, retries,
//! deduplication, membership and configuration.
//!
//! Every part takes typed inputs with the current time and returns typed outputs. The crate
//! must not know threads, sockets, global state, a clock of its own or any wire format, so a
//! daemon, a test or a measuring tool can drive the same code.

pub mod admit;
pub mod base;
pub mod config;
pub mod dedup;
pub mod detect;
pub mod eject;
pub mod member;
pub mod retry;
pub mod route;
