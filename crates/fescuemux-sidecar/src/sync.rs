//! Synchronization of configuration and membership, through the store and, while the store is
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

/// Time for which a watch waits for a change, below the store's limit of 30 s. Changes that a
/// stalled watch misses are learned from other instances.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Pause after a failed store call, so that instances are registered again within two seconds after
/// the store recovers.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(1_200);
