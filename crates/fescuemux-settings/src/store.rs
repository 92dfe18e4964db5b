//! Settings of the connection to the store.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the connection to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the store, each of which serves all keys.
    pub addresses: Vec<SocketAddr>,
    /// Maximum time of one call.
    pub timeout: Duration,
}
