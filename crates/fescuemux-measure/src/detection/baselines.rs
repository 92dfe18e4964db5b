//! Three customary methods to compare with.
//!
//! Each sees all requests of the service in one place, which favors them: in a fleet each proxy
//! would see only its own part. Requests to a server are not limited by slots, so that errors
//! after the deadline arrive at the full request rate.

use super::engine::Effect;
use super::options::Method;
use fescuemux_core::base::Cx;
use fescuemux_core::detect::Outcome;
use fescuemux_core::eject::RequestKind;
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Time between two health checks and between two evaluations of the success rate.
const CHECK_EVERY: Duration = Duration::from_secs(1);
const EVALUATE_EVERY: Duration = Duration::from_secs(10);
/// Checks in a row that fail before a server is removed.
const FAILED_CHECKS: u32 = 3;
/// Share of checks that time out for no reason.
const LOST_CHECKS: f64 = 0.02;
/// Errors in a row that remove a server.
const ERRORS: u32 = 5;
/// Time of the first ejection; the n-th lasts n times as long.
const EJECTION: Duration = Duration::from_secs(30);
/// Requests in an interval that a success rate needs.
const LEAST_REQUESTS: u32 = 100;
/// Standard deviations below the mean at which a success rate is an outlier.
const DEVIATIONS: f64 = 1.9;
/// Largest share of servers that the success-rate method ejects; one is always allowed.
const MOST_EJECTED: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Server {
    out_until: Option<Instant>,
    times: u32,
    errors_in_a_row: u32,
    failed_checks: u32,
    requests: u32,
    successes: u32,
}

/// One customary method over one service.
pub(super) struct Baselines {
    method: Method,
    servers: Vec<Server>,
    next_check: Instant,
    next_evaluation: Instant,
    effects: Vec<Effect>,
}

impl Baselines {
    pub(super) fn new(method: Method, pool: usize, now: Instant) -> Baselines {
        let server = Server {
            out_until: None,
            times: 0,
            errors_in_a_row: 0,
            failed_checks: 0,
            requests: 0,
            successes: 0,
        };
        Baselines {
            method,
            servers: vec![server; pool],
            next_check: now + CHECK_EVERY,
            next_evaluation: now + EVALUATE_EVERY,
            effects: Vec::new(),
        }
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn healthy_servers(&self) -> u32 {
        self.servers.iter().filter(|server| server.out_until.is_none()).count() as u32
    }

    /// Chooses among the servers in service, or among all when none is left.
    pub(super) fn choose(&self, cx: &mut Cx) -> Option<(usize, RequestKind)> {
        let open: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].out_until.is_none())
            .collect();
        let server = if open.is_empty() {
            cx.rng.random_range(0..self.servers.len())
        } else {
            open[cx.rng.random_range(0..open.len())]
        };
        Some((server, RequestKind::Normal))
    }

    pub(super) fn on_finish(&mut self, cx: &Cx, index: usize, outcome: Outcome) {
        let server = &mut self.servers[index];
        server.requests += 1;
        if outcome == Outcome::Ok {
            server.successes += 1;
            server.errors_in_a_row = 0;
            return;
        }
        server.errors_in_a_row += 1;
        let due = server.errors_in_a_row >= ERRORS && server.out_until.is_none();
        if self.method == Method::ConsecutiveErrors && due {
            self.eject(cx.now, index);
        }
    }

    pub(super) fn on_tick(&mut self, cx: &mut Cx) {
        self.return_servers(cx.now);
        if cx.now >= self.next_check {
            self.next_check += CHECK_EVERY;
            if self.method == Method::HealthChecks {
                self.check(cx);
            }
        }
        if cx.now >= self.next_evaluation {
            self.next_evaluation += EVALUATE_EVERY;
            if self.method == Method::SuccessRate {
                self.evaluate(cx.now);
            }
        }
    }

    fn return_servers(&mut self, now: Instant) {
        for server in &mut self.servers {
            if server.out_until.is_some_and(|until| now >= until) {
                server.out_until = None;
                server.errors_in_a_row = 0;
            }
        }
    }

    /// The health endpoint of every fault in these traces claims health.
    fn check(&mut self, cx: &mut Cx) {
        for index in 0..self.servers.len() {
            let lost = cx.rng.random::<f64>() < LOST_CHECKS;
            let server = &mut self.servers[index];
            server.failed_checks = if lost { server.failed_checks + 1 } else { 0 };
            if server.failed_checks >= FAILED_CHECKS && server.out_until.is_none() {
                self.eject(cx.now, index);
            }
        }
    }

    fn evaluate(&mut self, now: Instant) {
        let rates: Vec<(usize, f64)> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.requests >= LEAST_REQUESTS)
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
        let least = mean - DEVIATIONS * variance.sqrt();
        let most = ((self.servers.len() as f64 * MOST_EJECTED) as usize).max(1);
        for (index, rate) in rates {
            let out = self.servers.len() - self.healthy_servers() as usize;
            if rate < least && out < most && self.servers[index].out_until.is_none() {
                self.eject(now, index);
            }
        }
    }

    fn eject(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        server.times += 1;
        server.errors_in_a_row = 0;
        server.out_until = Some(now + EJECTION * server.times);
        self.effects.push(Effect::CutOff(index));
        self.effects.push(Effect::Ejected(index));
    }
}
