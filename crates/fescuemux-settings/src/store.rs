//! Settings of the connection to the store.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the connection to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the store, each of which serves all keys.
    pub addresses: Vec<SocketAddr>,
    /// Maximum time to open a connection, and maximum time of one call to one address in addition
    /// to the timeout of a watch.
    pub timeout: Duration,
}
