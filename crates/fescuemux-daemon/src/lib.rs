//! The daemon: owns the sockets, threads and clock, and drives the state machines of
//! `fescuemux-core`.

mod clock;
mod config_sync;
mod daemon;
mod decisions;
mod demand;
mod guard;
mod homes;
mod http;
mod ingress;
mod ledger;
pub mod logging;
mod metrics;
mod operators;
mod peers;
mod seeds;
mod stop;

pub use clock::SystemClock;
pub use daemon::{Addresses, Daemon, StopReport};
pub use operators::SetLogLevel;
