//! Probes of network paths whose circuit breaker is half-open, so that no request of a caller is
//! risked on them.

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

/// Interval between checks for paths to probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe, far above the round trip between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Server name in a probe, which no backend server has: the guard refuses the request. An authenticated refusal shows that the path works in both
/// directions.
const NONEXISTENT_SERVER: &str = "-path-probe-";
const PROBE_TARGET: &str = "/";

impl Ingress {
    /// Probes paths until the runtime ends.
    pub(crate) async fn probe_paths(self: Arc<Ingress>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            while let Some(instance) = self.router.with(|cx, router| router.next_path_probe(cx)) {
                let this = Arc::clone(&self);
                tokio::spawn(async move {
                    let path_works = this.probe_path(&instance).await;
                    this.router.with(|cx, router| router.on_path_probe(cx, &instance, path_works));
                });
            }
        }
    }

    async fn probe_path(&self, instance: &InstanceId) -> bool {
        let Some(peer) = self.directory().get(instance) else { return false };
        let mut req = Request::new(empty());
        let hop = HopRequest {
            id: self.id_generator.with(|cx, ()| cx.rng.random()),
            attempt: 0,
            server: NONEXISTENT_SERVER.into(),
            incarnation: peer.incarnation,
            deadline: PROBE_TIMEOUT,
            kind: HopKind::Normal,
            idempotent: true,
            priority: 0,
            baseline: None,
        };
        hop.write(req.headers_mut());
        let wall = self.context.clock.wall();
        sign_request(&self.context.keys, wall, &Method::GET, PROBE_TARGET, req.headers_mut());
        let mac = req.headers().get(headers::MAC).cloned();
        let mac = mac.as_ref().and_then(|mac| mac.to_str().ok()).unwrap_or_default();
        let sending = self.pool.send(peer.hop, ConnectionReuse::Never, req);
        let Ok(Ok(response)) = timeout(PROBE_TIMEOUT, sending).await else { return false };
        verify_response(&self.context.keys, mac, response.status().as_u16(), response.headers())
            .is_ok()
    }
}
