//! Three common detection methods as baselines.
//!
//! Each method observes all requests of the service in one place, which favors it: in a fleet, each
//! proxy would observe only its own share. Slots do not limit the requests to a server, so that
//! missed deadlines are observed at the full request rate.

use super::engine::Effect;
use super::options::Method;
use fescuemux_core::base::Cx;
use fescuemux_core::detect::Outcome;
use fescuemux_core::eject::RequestKind;
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Time between two health checks of a server.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two evaluations of the success rate.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(10);
/// Consecutive failed health checks that eject a server.
const FAILED_CHECK_THRESHOLD: u32 = 3;
/// Share of health checks that time out by chance.
const HEALTH_CHECK_LOSS: f64 = 0.02;
/// Consecutive errors that eject a server.
const CONSECUTIVE_ERROR_THRESHOLD: u32 = 5;
/// Duration of a server's first ejection. Its n-th ejection lasts n times as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Minimum number of requests to a server in an interval for its success rate to be evaluated.
const MIN_REQUESTS: u32 = 100;
/// Number of standard deviations below the mean of all servers beyond which a success rate is an
/// outlier.
const OUTLIER_DEVIATIONS: f64 = 1.9;
/// Maximum share of servers that the success-rate method ejects. One server is always allowed.
const MAX_EJECTED_SHARE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Server {
    ejected_until: Option<Instant>,
    ejection_count: u32,
    consecutive_errors: u32,
    consecutive_failed_checks: u32,
    /// Requests and successes since the last evaluation.
    requests: u32,
    successes: u32,
}

/// One baseline method applied to one service.
pub(super) struct Baseline {
    method: Method,
    servers: Vec<Server>,
    next_check: Instant,
    next_evaluation: Instant,
    effects: Vec<Effect>,
}

impl Baseline {
    pub(super) fn new(method: Method, pool_size: usize, now: Instant) -> Baseline {
        let server = Server {
            ejected_until: None,
            ejection_count: 0,
            consecutive_errors: 0,
            consecutive_failed_checks: 0,
            requests: 0,
            successes: 0,
        };
        Baseline {
            method,
            servers: vec![server; pool_size],
            next_check: now + HEALTH_CHECK_INTERVAL,
            next_evaluation: now + EVALUATION_INTERVAL,
            effects: Vec::new(),
        }
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of servers that are not ejected.
    pub(super) fn available_servers(&self) -> u32 {
        self.servers.iter().filter(|server| server.ejected_until.is_none()).count() as u32
    }

    /// Chooses a random server that is not ejected, or any server when all are ejected.
    pub(super) fn choose_server(&self, cx: &mut Cx) -> Option<(usize, RequestKind)> {
        let available: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].ejected_until.is_none())
            .collect();
        let server = if available.is_empty() {
            cx.rng.random_range(0..self.servers.len())
        } else {
            available[cx.rng.random_range(0..available.len())]
        };
        Some((server, RequestKind::Normal))
    }

    pub(super) fn on_finish(&mut self, cx: &Cx, index: usize, outcome: Outcome) {
        let server = &mut self.servers[index];
        server.requests += 1;
        if outcome == Outcome::Ok {
            server.successes += 1;
            server.consecutive_errors = 0;
            return;
        }
        server.consecutive_errors += 1;
        let should_eject = server.consecutive_errors >= CONSECUTIVE_ERROR_THRESHOLD
            && server.ejected_until.is_none();
        if self.method == Method::ConsecutiveErrors && should_eject {
            self.eject(cx.now, index);
        }
    }

    pub(super) fn on_tick(&mut self, cx: &mut Cx) {
        self.readmit_servers(cx.now);
        if cx.now >= self.next_check {
            self.next_check += HEALTH_CHECK_INTERVAL;
            if self.method == Method::HealthChecks {
                self.run_health_checks(cx);
            }
        }
        if cx.now >= self.next_evaluation {
            self.next_evaluation += EVALUATION_INTERVAL;
            if self.method == Method::SuccessRate {
                self.evaluate_success_rates(cx.now);
            }
        }
    }

    fn readmit_servers(&mut self, now: Instant) {
        for server in &mut self.servers {
            if server.ejected_until.is_some_and(|until| now >= until) {
                server.ejected_until = None;
                server.consecutive_errors = 0;
            }
        }
    }

    /// Checks all servers. In these traces, the health endpoint of a faulty server reports it as
    /// healthy, so a check fails only when it times out.
    fn run_health_checks(&mut self, cx: &mut Cx) {
        for index in 0..self.servers.len() {
            let timed_out = cx.rng.random::<f64>() < HEALTH_CHECK_LOSS;
            let server = &mut self.servers[index];
            server.consecutive_failed_checks =
                if timed_out { server.consecutive_failed_checks + 1 } else { 0 };
            if server.consecutive_failed_checks >= FAILED_CHECK_THRESHOLD
                && server.ejected_until.is_none()
            {
                self.eject(cx.now, index);
            }
        }
    }

    fn evaluate_success_rates(&mut self, now: Instant) {
        let rates: Vec<(usize, f64)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.requests >= MIN_REQUESTS)
            .map(|(index, server)| {
                (index, f64::from(server.successes) / f64::from(server.requests))
            })
            .collect();
        for server in &mut self.servers {
            server.requests = 0;
            server.successes = 0;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let variance = rates.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count;
        let min_rate = mean - OUTLIER_DEVIATIONS * variance.sqrt();
        let max_ejected = ((self.servers.len() as f64 * MAX_EJECTED_SHARE) as usize).max(1);
        for (index, rate) in rates {
            let ejected = self.servers.len() - self.available_servers() as usize;
            if rate < min_rate
                && ejected < max_ejected
                && self.servers[index].ejected_until.is_none()
            {
                self.eject(now, index);
            }
        }
    }

    fn eject(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        server.ejection_count += 1;
        server.consecutive_errors = 0;
        server.ejected_until = Some(now + BASE_EJECTION_TIME * server.ejection_count);
        self.effects.push(Effect::TrafficStopped(index));
        self.effects.push(Effect::Ejected(index));
    }
}
