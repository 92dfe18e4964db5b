//! What the process and the fleet know of each other: entries and configuration in the store,
//! and what other instances know while the store is out of reach.

mod configuration;
mod pull;
mod register;
mod watch_peers;

pub(crate) use configuration::watch_config;
pub(crate) use pull::{gossip, pull};
pub(crate) use register::register;
pub(crate) use watch_peers::watch_peers;

use std::time::Duration;

/// Prefix of the entries of instances.
pub(crate) const PEER_PREFIX: &str = "fescuemux/instances/";

/// Longest wait of a watch; the store allows 30 s. While a watch is silent without an end, other
/// instances hand on what it misses.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Pause after a failed call to the store. An entry is back within two seconds of its return.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(1_200);
