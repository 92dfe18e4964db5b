//! How the daemon reaches the store.

use std::net::SocketAddr;
use std::time::Duration;

/// How the daemon reaches the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the store, each of which serves all keys.
    pub addresses: Vec<SocketAddr>,
    /// Longest time one call may take.
    pub timeout: Duration,
}
