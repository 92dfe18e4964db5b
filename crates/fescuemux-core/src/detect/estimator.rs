//! Estimates the service-wide baseline from the answers that one ingress sees.

use super::baseline::Baseline;
use crate::base::{Cx, HashMap, ServerId};
use std::time::{Duration, Instant};

/// Backend servers tracked for one service; answers of further ones are ignored.
const MOST_SERVERS: usize = 1024;
/// Backend servers needed before a majority means anything.
const LEAST_SERVERS: usize = 3;
/// A server without an answer for this long no longer counts.
const STALE: Duration = Duration::from_secs(60);
/// Weight of a new latency in a server's mean logarithm.
const LATENCY_WEIGHT: f64 = 0.05;
/// Weight of a new outcome in a server's error ratio.
const ERROR_WEIGHT: f64 = 0.1;
/// The estimate is computed anew after this share of the servers answered, so an update costs
/// constant time on average.
const REFRESH_DIVISOR: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Server {
    /// Mean logarithm of the latency in seconds; absent until the first success.
    slow: Option<f64>,
    /// Logarithm of the newest successful latency.
    newest: f64,
    error_ratio: f64,
    seen: Instant,
}

/// Baseline of one service over its backend servers. A minority of sick servers cannot move it
/// beyond what the healthy ones show, because it takes medians over servers and not over answers.
#[derive(Clone, Debug, Default)]
pub struct BaselineEstimator {
    servers: HashMap<ServerId, Server>,
    updates: usize,
    current: Option<Baseline>,
    scratch: Vec<f64>,
}

impl BaselineEstimator {
    /// Returns an estimator without knowledge.
    pub fn new() -> BaselineEstimator {
        BaselineEstimator::default()
    }

    /// Takes an answer of a backend server. A canceled request is not an answer.
    pub fn on_answer(&mut self, cx: &mut Cx, server: &ServerId, latency: Duration, ok: bool) {
        if let Some(known) = self.servers.get_mut(server) {
            known.update(cx.now, latency, ok);
        } else if self.servers.len() < MOST_SERVERS {
            let mut known = Server::new(cx.now);
            known.update(cx.now, latency, ok);
            self.servers.insert(server.clone(), known);
        }
        self.updates += 1;
        if self.updates * REFRESH_DIVISOR >= self.servers.len() {
            self.refresh(cx.now);
        }
    }

    /// Returns the newest estimate, or `None` while too few backend servers answered.
    pub fn baseline(&self) -> Option<Baseline> {
        self.current
    }

    fn refresh(&mut self, now: Instant) {
        self.updates = 0;
        self.servers.retain(|_, server| now.saturating_duration_since(server.seen) < STALE);
        let slow = self.median(|server| server.slow);
        // The newest answer of each server follows a slowdown of the whole service within one
        // answer of half the servers; the slow means alone would lag by a minute.
        let newest = self.median(|server| server.slow.map(|_| server.newest));
        let errors = self.median(|server| Some(server.error_ratio));
        let answered = self.servers.values().filter(|server| server.slow.is_some()).count();
        self.current = match (slow, newest, errors) {
            (Some(slow), Some(newest), Some(error_ratio)) if answered >= LEAST_SERVERS => {
                let median = Duration::from_secs_f64(slow.max(newest).exp());
                Some(Baseline { median, error_ratio })
            }
            _ => None,
        };
    }

    /// Returns the lower median, so that half of the servers being sick does not move it.
    fn median(&mut self, value: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        self.scratch.clear();
        self.scratch.extend(self.servers.values().filter_map(value));
        if self.scratch.is_empty() {
            return None;
        }
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

impl Server {
    fn new(now: Instant) -> Server {
        Server { slow: None, newest: 0.0, error_ratio: 0.0, seen: now }
    }

    fn update(&mut self, now: Instant, latency: Duration, ok: bool) {
        self.seen = now;
        let failed = if ok { 0.0 } else { 1.0 };
        self.error_ratio += (failed - self.error_ratio) * ERROR_WEIGHT;
        if !ok {
            return;
        }
        let value = latency.as_secs_f64().max(1e-6).ln();
        self.newest = value;
        let slow = self.slow.get_or_insert(value);
        *slow += (value - *slow) * LATENCY_WEIGHT;
    }
}
