//! Helpers for router tests.

use crate::base::{Cx, Phase, ServerId, ServiceId, Verdict};
use crate::route::{
    AttemptAnswer, Choice, Endpoint, RouteQuery, Router, RouterConfig, ServerHealth, ServerLoad,
};
use std::time::{Duration, Instant};

pub(super) const SEED: u64 = 7;

pub(super) fn cx() -> Cx {
    Cx::new(Instant::now(), SEED)
}

pub(super) fn router() -> Router {
    Router::new(RouterConfig::new("ingress".into(), "d1".into(), "r1".into()))
}

/// Returns a ready, serving backend server of service `s` on its own instance.
pub(super) fn endpoint(server: &str, domain: &str) -> Endpoint {
    Endpoint {
        server: server.into(),
        service: "s".into(),
        instance: format!("i-{server}").into(),
        domain: domain.into(),
        region: if domain.starts_with('d') { "r1".into() } else { "r2".into() },
        slots: 4,
        phase: Phase::Ready,
        incarnation: 1,
        health: ServerHealth::Serving,
    }
}

pub(super) fn answer_with_load(busy: u32, queued: u32) -> AttemptAnswer {
    AttemptAnswer {
        verdict: Verdict::Ran,
        latency: Duration::from_millis(25),
        load: Some(ServerLoad { busy, slots: 4, queued }),
        health: None,
    }
}

pub(super) fn choose(router: &mut Router, cx: &mut Cx, idempotent: bool) -> Option<Choice> {
    let service: ServiceId = "s".into();
    router.choose(cx, &RouteQuery::first_attempt(&service, idempotent))
}

/// Chooses `n` times without sending and returns the share of choices of `server`.
pub(super) fn chosen_share(router: &mut Router, cx: &mut Cx, n: usize, server: &str) -> f64 {
    let server: ServerId = server.into();
    let hits = (0..n).filter(|_| choose(router, cx, true).is_some_and(|c| c.server == server));
    hits.count() as f64 / n as f64
}
