//! Probes of paths whose breaker waits for a trial, so that requests need not be the trials.

use super::Ingress;
use crate::http::{ConnectionReuse, empty};
use fescuemux_core::base::InstanceId;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopKind, HopRequest, sign_request, verify_response};
use http::{Method, Request};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval of looks for paths to probe.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for a probe: far above the round trip between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Name that no backend server has. The guard's authentic refusal proves the path both ways.
const NO_SERVER: &str = "-path-probe-";
const TARGET: &str = "/";

impl Ingress {
    /// Probes paths until the runtime ends.
    pub(crate) async fn probe_paths(self: Arc<Ingress>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            while let Some(instance) = self.router.with(|cx, router| router.next_path_probe(cx)) {
                let this = Arc::clone(&self);
                tokio::spawn(async move {
                    let ok = this.probe(&instance).await;
                    this.router.with(|cx, router| router.on_path_probe(cx, &instance, ok));
                });
            }
        }
    }

    async fn probe(&self, instance: &InstanceId) -> bool {
        let Some(peer) = self.directory().get(instance) else { return false };
        let mut req = Request::new(empty());
        let hop = HopRequest {
            id: self.ids.with(|cx, ()| cx.rng.random()),
            attempt: 0,
            server: NO_SERVER.into(),
            incarnation: peer.incarnation,
            deadline: PROBE_TIMEOUT,
            kind: HopKind::Normal,
            idempotent: true,
            priority: 0,
            baseline: None,
        };
        hop.write(req.headers_mut());
        let wall = self.cx.clock.wall();
        sign_request(&self.cx.keys, wall, &Method::GET, TARGET, req.headers_mut());
        let mac = req.headers().get(headers::MAC).cloned();
        let mac = mac.as_ref().and_then(|mac| mac.to_str().ok()).unwrap_or_default();
        let sending = self.pool.send(peer.hop, ConnectionReuse::Never, req);
        let Ok(Ok(answer)) = timeout(PROBE_TIMEOUT, sending).await else { return false };
        verify_response(&self.cx.keys, mac, answer.status().as_u16(), answer.headers()).is_ok()
    }
}
