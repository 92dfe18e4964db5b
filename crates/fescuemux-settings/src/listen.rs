//! Listen addresses.

use std::net::SocketAddr;

/// Addresses on which the daemon listens. Port 0 selects any free port.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenAddrs {
    /// Address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// Address for HTTP requests that other daemons forward.
    pub hop: SocketAddr,
    /// Address for control messages of other daemons.
    pub rpc: SocketAddr,
    /// Loopback address for announcements of backend servers.
    pub local: SocketAddr,
    /// Address of the operator API and metrics.
    pub operators: SocketAddr,
}
