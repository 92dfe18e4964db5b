//! Addresses that other daemons use to reach this one.

use std::net::SocketAddr;

/// Addresses that other daemons use to reach this one. They equal the listening addresses
/// unless the settings give others.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvertisedAddrs {
    /// HTTP requests forwarded by other daemons.
    pub hop: SocketAddr,
    /// Control messages of other daemons.
    pub rpc: SocketAddr,
}
