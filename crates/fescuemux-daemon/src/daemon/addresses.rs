//! Addresses of a running daemon.

use std::net::SocketAddr;

/// Addresses that a daemon is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Requests of other daemons' ingresses.
    pub hop: SocketAddr,
    /// Remote procedures of other daemons.
    pub rpc: SocketAddr,
    /// Announcements of the backend servers on the instance.
    pub local: SocketAddr,
    /// Operator API and metrics.
    pub operators: SocketAddr,
}
