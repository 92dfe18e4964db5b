//! Settings of one process.

use anyhow::Result;
use fescuemux_core::base::{DomainId, InstanceId, ServiceId};
use fescuemux_core::placement::RepeatLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses on which the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers on this instance and for calls of its backend server.
    pub callers: SocketAddr,
    /// For reports of the backend server.
    pub control: SocketAddr,
    /// For the question whether callers may come.
    pub ready: SocketAddr,
    /// For other instances, TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Service of the backend server beside the process, told to servers as the caller.
    pub service: ServiceId,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Bound of repeats.
    pub repeats: RepeatLimits,
    /// Shortest lease of the store.
    pub min_lease: Duration,
}

/// Where settings come from. They may change while the process runs.
pub trait SettingsSource {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    /// Fails when they cannot be read or lack a field that is needed.
    fn read(&self) -> Result<NodeSettings>;
}
