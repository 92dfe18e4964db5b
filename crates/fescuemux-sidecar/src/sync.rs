//! Synchronization of configuration and membership, through the store and, while the store is
//! unavailable, directly between instances.

mod configuration;
mod departures;
mod list_peers;
mod pull;
mod register;

pub(crate) use configuration::watch_config;
pub(crate) use departures::{exchange_departures, record_departures};
pub(crate) use list_peers::list_peers;
pub(crate) use pull::{gossip, pull};
pub(crate) use register::register;

use std::time::Duration;

/// Key prefix of instance entries in the store.
pub(crate) const PEER_PREFIX: &str = "fescuemux/instances/";

/// Pause after a failed store call, so that instances are registered again within two seconds after
/// the store recovers.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(1_200);
