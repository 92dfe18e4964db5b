//! An ingress with its routing and retry policies.

use crate::overload::setup::{RetryPolicy, RoutePolicy, Setup};
use fescuemux_core::base::{Cx, Phase, ServerId, ServiceId, Verdict};
use fescuemux_core::retry::{Attempt, LatencyHistogram, RetryBudget, RetryConfig, RetryDecision};
use fescuemux_core::route::{
    AttemptAnswer, Endpoint, RouteQuery, Router, RouterConfig, ServerHealth, ServerLoad,
};
use rand::Rng;
use std::time::{Duration, Instant};

const SERVICE: &str = "service";
const NAIVE_ATTEMPTS: u32 = 4;

#[derive(Debug)]
enum Route {
    Router(Box<Router>),
    Random,
    RoundRobin(usize),
}

#[derive(Debug)]
pub(super) struct Ingress {
    route: Route,
    budget: Option<RetryBudget>,
    latencies: LatencyHistogram,
    service: ServiceId,
    servers: usize,
}

pub(super) fn server_name(server: usize) -> ServerId {
    format!("s{server}").into()
}

impl Ingress {
    pub(super) fn new(cx: &mut Cx, setup: &Setup, number: usize) -> Ingress {
        let route = match setup.policy.route {
            RoutePolicy::Router => Route::Router(Box::new(router(cx, setup, number))),
            RoutePolicy::Random => Route::Random,
            RoutePolicy::RoundRobin => Route::RoundRobin(cx.rng.random_range(0..setup.servers)),
        };
        let budget = match setup.policy.retry {
            RetryPolicy::Budget => Some(RetryBudget::new(RetryConfig::default(), cx.now)),
            RetryPolicy::Naive => None,
        };
        let latencies = LatencyHistogram::default();
        Ingress { route, budget, latencies, service: SERVICE.into(), servers: setup.servers }
    }

    pub(super) fn on_request(&mut self, cx: &mut Cx) {
        if let Some(budget) = &mut self.budget {
            budget.on_request(cx);
        }
    }

    /// Picks a server for an attempt and counts the attempt as sent.
    pub(super) fn pick(&mut self, cx: &mut Cx, tried: &[ServerId]) -> Option<usize> {
        let router = match &mut self.route {
            Route::Random => {
                return Some(cx.rng.random_range(0..self.servers));
            }
            Route::RoundRobin(next) => {
                *next = (*next + 1) % self.servers;
                return Some(*next);
            }
            Route::Router(router) => router,
        };
        let first = RouteQuery::first_attempt(&self.service, true);
        let choice = router
            .choose(cx, &RouteQuery { excluded_servers: tried, ..first })
            .or_else(|| router.choose(cx, &first))?;
        router.on_sent(cx, &choice);
        choice.server[1..].parse().ok()
    }

    pub(super) fn on_answer(
        &mut self,
        cx: &mut Cx,
        server: usize,
        verdict: Verdict,
        latency: Duration,
        load: ServerLoad,
    ) {
        if verdict == Verdict::Ran {
            self.latencies.record(latency);
        }
        if let Route::Router(router) = &mut self.route {
            let health = Some(ServerHealth::Serving);
            let answered = AttemptAnswer { verdict, latency, load: Some(load), health };
            router.on_answer(cx, &server_name(server), answered);
        }
    }

    pub(super) fn on_no_connection(&mut self, cx: &mut Cx, server: usize) {
        if let Route::Router(router) = &mut self.route {
            router.on_path_failure(cx, &format!("i{server}").into(), &server_name(server));
        }
    }

    pub(super) fn on_canceled(&mut self, cx: &mut Cx, server: usize) {
        if let Route::Router(router) = &mut self.route {
            router.on_canceled(cx, &server_name(server));
        }
    }

    /// Returns the time after which an attempt is hedged.
    pub(super) fn hedge_after(&self, percent: u8) -> Option<Duration> {
        self.latencies.quantile(f64::from(percent) / 100.0)
    }

    pub(super) fn try_hedge(&mut self, cx: &mut Cx, deadline: Instant) -> bool {
        let attempt = attempt(cx, 1, deadline);
        self.budget.as_mut().is_some_and(|budget| budget.try_hedge(cx, &attempt))
    }

    pub(super) fn next_probe(&mut self, cx: &mut Cx) -> Option<usize> {
        let Route::Router(router) = &mut self.route else {
            return None;
        };
        router.next_path_probe(cx)?[1..].parse().ok()
    }

    pub(super) fn on_probe(&mut self, cx: &mut Cx, server: usize, ok: bool) {
        if let Route::Router(router) = &mut self.route {
            router.on_path_probe(cx, &format!("i{server}").into(), ok);
        }
    }

    /// Returns true while the service has room, as far as this ingress knows.
    pub(super) fn has_room(&self) -> bool {
        match &self.route {
            Route::Router(router) => router.mean_load(&self.service) < 1.0,
            Route::Random | Route::RoundRobin(_) => true,
        }
    }

    /// Returns the wait before the next attempt of a request, if it gets one.
    pub(super) fn retry(
        &mut self,
        cx: &mut Cx,
        attempts: u32,
        deadline: Instant,
    ) -> Option<Duration> {
        let Some(budget) = &mut self.budget else {
            return (attempts < NAIVE_ATTEMPTS).then_some(Duration::ZERO);
        };
        let attempt = attempt(cx, attempts, deadline);
        match budget.decide(cx, &attempt) {
            RetryDecision::Retry { after } => Some(after),
            RetryDecision::GiveUp { .. } => None,
        }
    }
}

fn attempt(cx: &Cx, attempts: u32, deadline: Instant) -> Attempt {
    Attempt {
        verdict: Verdict::NotRun,
        previous_verdict: Verdict::NotRun,
        idempotent: true,
        body_replayable: true,
        time_to_deadline: deadline.saturating_duration_since(cx.now),
        expected_latency: Duration::ZERO,
        attempts,
        retry_after: None,
    }
}

fn router(cx: &mut Cx, setup: &Setup, number: usize) -> Router {
    let domain = format!("d{}", number % setup.domains);
    let cfg = RouterConfig::new(format!("ingress{number}").into(), domain.into(), "r".into());
    let mut router = Router::new(cfg);
    for server in 0..setup.servers {
        let endpoint = Endpoint {
            server: server_name(server),
            service: SERVICE.into(),
            instance: format!("i{server}").into(),
            domain: format!("d{}", server % setup.domains).into(),
            region: "r".into(),
            slots: setup.slots,
            phase: Phase::Ready,
            incarnation: 1,
            health: ServerHealth::Serving,
        };
        router.upsert(cx, endpoint);
    }
    router
}
