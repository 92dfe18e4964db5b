//! Probes of the health endpoints of the backend servers.
//!
//! A cheerful endpoint proves little, so the detector gives its answers little weight.

use super::Guard;
use super::server::GuardedServer;
use crate::http::{ConnectionReuse, empty};
use fescuemux_core::detect::ProbeResult;
use http::Request;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval of probes to one server.
const INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for an answer, twenty times what a server needs for a probe.
const TIMEOUT: Duration = Duration::from_millis(500);
const PATH: &str = "/health";

impl Guard {
    /// Probes all servers until the runtime ends.
    pub(crate) async fn probe_health(self: Arc<Guard>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
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
        *req.uri_mut() = http::Uri::from_static(PATH);
        let sending = self.forwarder.pool().send(server.address(), ConnectionReuse::Allowed, req);
        match timeout(TIMEOUT, sending).await {
            Ok(Ok(answer)) if !answer.status().is_server_error() => ProbeResult::Healthy,
            Ok(_) => ProbeResult::Unhealthy,
            Err(_) => ProbeResult::TimedOut,
        }
    }
}
