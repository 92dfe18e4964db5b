//! Probes of the health endpoints of the backend servers.
//!
//! A server can pass health checks while it fails requests, so the detector gives the results
//! little weight.

use super::Guard;
use super::server::GuardedServer;
use crate::http::{ConnectionReuse, empty};
use fescuemux_core::detect::ProbeResult;
use http::Request;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval between probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a probe, twenty times the time that a server needs to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const HEALTH_PATH: &str = "/health";

impl Guard {
    /// Probes all servers until the runtime ends.
    pub(crate) async fn probe_health(self: Arc<Guard>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            for server in self.servers() {
                let this = Arc::clone(&self);
                tokio::spawn(async move {
                    let result = this.probe(&server).await;
                    server.on_probe(result);
                });
            }
        }
    }

    async fn probe(&self, server: &GuardedServer) -> ProbeResult {
        let mut req = Request::new(empty());
        *req.uri_mut() = http::Uri::from_static(HEALTH_PATH);
        let sending = self.forwarder.pool().send(server.address(), ConnectionReuse::Allowed, req);
        match timeout(PROBE_TIMEOUT, sending).await {
            Ok(Ok(response)) if !response.status().is_server_error() => ProbeResult::Healthy,
            Ok(_) => ProbeResult::Unhealthy,
            Err(_) => ProbeResult::TimedOut,
        }
    }
}
