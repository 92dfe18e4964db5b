//! Addresses on which the daemon listens.

use std::net::SocketAddr;

/// Addresses on which the daemon listens. Port 0 takes any free port.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenAddrs {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// HTTP requests forwarded by other daemons.
    pub hop: SocketAddr,
    /// Control messages of other daemons.
    pub rpc: SocketAddr,
    /// Announcements of backend servers; a loopback address.
    pub local: SocketAddr,
    /// Operator API and metrics.
    pub operators: SocketAddr,
}
