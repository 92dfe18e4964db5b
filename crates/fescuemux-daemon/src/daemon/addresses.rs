//! Addresses of a running daemon.

use std::net::SocketAddr;

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for hop requests of ingresses.
    pub hop: SocketAddr,
    /// Address for remote procedure calls of other daemons.
    pub rpc: SocketAddr,
    /// Address for announcements of the instance's backend servers.
    pub local: SocketAddr,
    /// Address of the operator API and the metrics.
    pub operators: SocketAddr,
}
