//! Synchronization of configuration and membership, through the store and, while it is
//! unavailable, directly between instances.

mod configuration;
mod pull;
mod register;
mod watch_peers;

pub(crate) use configuration::watch_config;
pub(crate) use pull::{gossip, pull};
pub(crate) use register::register;
pub(crate) use watch_peers::watch_peers;

use std::time::Duration;

/// Key prefix of instance entries in the store.
pub(crate) const PEER_PREFIX: &str = "fescuemux/instances/";

/// Wait time of a watch, below the store's limit of 30 s. What a stalled watch misses is learned
/// from other instances.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Pause after a failed store call. Entries are back within two seconds after the store is.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(1_200);
