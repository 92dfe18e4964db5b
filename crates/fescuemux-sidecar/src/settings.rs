//! Settings of one process.

use anyhow::{Result, ensure};
use fescuemux_core::base::{DomainId, InstanceId, ServiceId};
use fescuemux_core::placement::RetryLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest time between SIGTERM and SIGKILL in which callers can be answered.
const MIN_GRACE: Duration = Duration::from_secs(1);

/// Addresses on which the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
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
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Bound of repeats.
    pub retry_limits: RetryLimits,
    /// Shortest lease of the store.
    pub min_lease_ttl: Duration,
}

impl NodeSettings {
    /// Checks the settings against each other.
    ///
    /// # Errors
    /// Names the first setting that cannot work.
    pub fn validate(&self) -> Result<()> {
        let listen = &self.listen;
        let tcp = [listen.callers, listen.control, listen.ready, listen.peers, listen.metrics];
        for (index, addr) in tcp.iter().enumerate() {
            ensure!(!tcp[..index].contains(addr), "two listeners share the address {addr}");
        }
        ensure!(!self.instance.is_empty(), "the instance has no name");
        ensure!(!self.service.is_empty(), "the service has no name");
        ensure!(self.grace >= MIN_GRACE, "a grace time of {:?} is too short", self.grace);
        ensure!(self.retry_limits.ratio >= 0.0, "the ratio of repeats is negative");
        ensure!(self.retry_limits.slack >= 0.0, "the slack of repeats is negative");
        ensure!(!self.retry_limits.window.is_zero(), "the window of repeats is empty");
        Ok(())
    }
}

/// Where settings come from. They may change while the process runs.
pub trait SettingsSource {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    /// Fails when they cannot be read, lack a field that is needed, or do not pass
    /// [`NodeSettings::check`].
    fn read(&self) -> Result<NodeSettings>;
}
