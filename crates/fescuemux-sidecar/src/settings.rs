//! Settings of a sidecar process.

use anyhow::{Result, ensure};
use fescuemux_core::allowances::AllowanceBounds;
use fescuemux_core::base::{DomainId, InstanceId, ServiceId};
use fescuemux_core::memory::ProcessLimits;
use fescuemux_core::placement::RetryLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum grace time; requests in flight could not be completed in a shorter time.
const MIN_GRACE: Duration = Duration::from_secs(1);

/// Minimum allowance window: leases last one second, and a counting instance that takes over hears
/// of the last window within another one.
const MIN_ALLOWANCE_WINDOW: Duration = Duration::from_secs(2);

/// Listen addresses of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests from callers on this machine and from the local backend server.
    pub callers: SocketAddr,
    /// Reports of the local backend server.
    pub control: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Traffic from other instances, TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Settings of a sidecar process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Service of the local backend server, also sent to other servers as the calling service.
    pub service: ServiceId,
    /// Listen addresses.
    pub listen: ListenAddresses,
    /// Whether no earlier process of any instance has served requests.
    pub first_start: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Limits of the retry budget.
    pub retry_limits: RetryLimits,
    /// Bounds of the requests of a customer with an allowance.
    pub allowance_bounds: AllowanceBounds,
    /// Limits of the memory and the descriptors of the process. A change takes effect at the next
    /// start.
    pub process_limits: ProcessLimits,
    /// Shortest lease TTL that the store grants.
    pub min_lease_ttl: Duration,
    /// Whether the locality policy decides when requests leave the failure domain, and not fixed
    /// costs.
    pub locality: bool,
}

impl NodeSettings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Fails if a setting is invalid, with a description of the first invalid setting.
    pub fn validate(&self) -> Result<()> {
        let listen = &self.listen;
        let tcp_addresses =
            [listen.callers, listen.control, listen.ready, listen.peers, listen.metrics];
        for (index, addr) in tcp_addresses.iter().enumerate() {
            ensure!(
                !tcp_addresses[..index].contains(addr),
                "two listeners share the address {addr}"
            );
        }
        ensure!(!self.instance.is_empty(), "the instance has no name");
        ensure!(!self.service.is_empty(), "the service has no name");
        ensure!(self.grace >= MIN_GRACE, "the grace time of {:?} is too short", self.grace);
        ensure!(self.retry_limits.ratio >= 0.0, "the retry ratio is negative");
        ensure!(self.retry_limits.slack >= 0.0, "the retry slack is negative");
        ensure!(!self.retry_limits.window.is_zero(), "the retry window is zero");
        let AllowanceBounds { window, excess, slack } = self.allowance_bounds;
        ensure!(window >= MIN_ALLOWANCE_WINDOW, "the allowance window of {window:?} is too short");
        ensure!(excess >= 0.0, "the allowance excess is negative");
        ensure!(slack >= 0.0, "the allowance slack is negative");
        Ok(())
    }
}

/// Source of the settings, which may change while the process runs.
pub trait SettingsSource {
    /// Reads the current settings.
    ///
    /// # Errors
    /// Fails if the settings cannot be read, lack a required field, or do not pass
    /// [`NodeSettings::validate`].
    fn read(&self) -> Result<NodeSettings>;
}
