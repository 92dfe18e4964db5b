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
const MAX_NAIVE_ATTEMPTS: u32 = 4;

#[derive(Debug)]
enum RoutingState {
    Router(Box<Router>),
    Random,
    /// Server of the last attempt.
    RoundRobin(usize),
}

#[derive(Debug)]
pub(super) struct Ingress {
    routing: RoutingState,
    budget: Option<RetryBudget>,
    latencies: LatencyHistogram,
    service: ServiceId,
    server_count: usize,
}

pub(super) fn server_name(server: usize) -> ServerId {
    format!("s{server}").into()
}

impl Ingress {
    pub(super) fn new(cx: &mut Cx, setup: &Setup, number: usize) -> Ingress {
        let routing = match setup.policy.route {
            RoutePolicy::Router => RoutingState::Router(Box::new(router(cx, setup, number))),
            RoutePolicy::Random => RoutingState::Random,
            RoutePolicy::RoundRobin => {
                RoutingState::RoundRobin(cx.rng.random_range(0..setup.servers))
            }
        };
        let budget = match setup.policy.retry {
            RetryPolicy::Budget => Some(RetryBudget::new(RetryConfig::default(), cx.now)),
            RetryPolicy::Naive => None,
        };
        let latencies = LatencyHistogram::default();
        Ingress { routing, budget, latencies, service: SERVICE.into(), server_count: setup.servers }
    }

    pub(super) fn on_request(&mut self, cx: &mut Cx) {
        if let Some(budget) = &mut self.budget {
            budget.on_request(cx);
        }
    }

    /// Chooses a server for an attempt and records the attempt as sent. The router prefers servers
    /// that the request has not tried.
    pub(super) fn choose_server(
        &mut self,
        cx: &mut Cx,
        tried_servers: &[ServerId],
    ) -> Option<usize> {
        let router = match &mut self.routing {
            RoutingState::Random => {
                return Some(cx.rng.random_range(0..self.server_count));
            }
            RoutingState::RoundRobin(next) => {
                *next = (*next + 1) % self.server_count;
                return Some(*next);
            }
            RoutingState::Router(router) => router,
        };
        let first_attempt_query = RouteQuery::first_attempt(&self.service, true);
        let choice = router
            .choose(cx, &RouteQuery { excluded_servers: tried_servers, ..first_attempt_query })
            .or_else(|| router.choose(cx, &first_attempt_query))?;
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
        if let RoutingState::Router(router) = &mut self.routing {
            let health = Some(ServerHealth::Serving);
            let answered = AttemptAnswer { verdict, latency, load: Some(load), health };
            router.on_answer(cx, &server_name(server), answered);
        }
    }

    pub(super) fn on_no_connection(&mut self, cx: &mut Cx, server: usize) {
        if let RoutingState::Router(router) = &mut self.routing {
            router.on_path_failure(cx, &format!("i{server}").into(), &server_name(server));
        }
    }

    pub(super) fn on_canceled(&mut self, cx: &mut Cx, server: usize) {
        if let RoutingState::Router(router) = &mut self.routing {
            router.on_canceled(cx, &server_name(server));
        }
    }

    /// Returns the delay after which an attempt is hedged: the given percentile of the latencies,
    /// or `None` while no latencies are known.
    pub(super) fn hedge_after(&self, percent: u8) -> Option<Duration> {
        self.latencies.quantile(f64::from(percent) / 100.0)
    }

    /// Returns true if the retry budget permits a second attempt.
    pub(super) fn try_hedge(&mut self, cx: &mut Cx, deadline: Instant) -> bool {
        let attempt = attempt_not_run(cx, 1, deadline);
        self.budget.as_mut().is_some_and(|budget| budget.try_hedge(cx, &attempt))
    }

    pub(super) fn next_probe(&mut self, cx: &mut Cx) -> Option<usize> {
        let RoutingState::Router(router) = &mut self.routing else {
            return None;
        };
        router.next_path_probe(cx)?[1..].parse().ok()
    }

    pub(super) fn on_probe(&mut self, cx: &mut Cx, server: usize, ok: bool) {
        if let RoutingState::Router(router) = &mut self.routing {
            router.on_path_probe(cx, &format!("i{server}").into(), ok);
        }
    }

    /// Returns true if the mean load of the service, as known to the router, is below one request
    /// per slot. Always true without a router, which alone tracks the load.
    pub(super) fn has_capacity(&self) -> bool {
        match &self.routing {
            RoutingState::Router(router) => router.mean_load(&self.service) < 1.0,
            RoutingState::Random | RoutingState::RoundRobin(_) => true,
        }
    }

    /// Returns the delay before the next attempt of a request, or `None` if it is not retried.
    pub(super) fn retry_delay(
        &mut self,
        cx: &mut Cx,
        attempts: u32,
        deadline: Instant,
    ) -> Option<Duration> {
        let Some(budget) = &mut self.budget else {
            return (attempts < MAX_NAIVE_ATTEMPTS).then_some(Duration::ZERO);
        };
        let attempt = attempt_not_run(cx, attempts, deadline);
        match budget.decide(cx, &attempt) {
            RetryDecision::Retry { after } => Some(after),
            RetryDecision::GiveUp { .. } => None,
        }
    }
}

fn attempt_not_run(cx: &Cx, attempts: u32, deadline: Instant) -> Attempt {
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
