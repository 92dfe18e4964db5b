//! Advertised addresses.

use std::net::SocketAddr;

/// Addresses that other daemons use to reach this daemon. By default, they are the listen addresses
/// of the same names.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvertisedAddrs {
    /// Address for HTTP requests that other daemons forward.
    pub hop: SocketAddr,
    /// Address for control messages of other daemons.
    pub rpc: SocketAddr,
}
