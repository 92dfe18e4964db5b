//! Estimate of the service-wide baseline from the answers that one ingress sees.

use super::baseline::Baseline;
use crate::base::{Cx, HashMap, ServerId};
use std::time::{Duration, Instant};

/// Maximum number of backend servers tracked per service. Answers of further servers are ignored.
const MAX_SERVERS: usize = 1024;
/// Minimum number of backend servers for an estimate; of two servers, neither is a majority.
const MIN_SERVERS: usize = 3;
/// Time without an answer after which a server is dropped from the estimate.
const SERVER_EXPIRY: Duration = Duration::from_secs(60);
/// Weight of a new latency in a server's mean logarithm.
const LATENCY_WEIGHT: f64 = 0.05;
/// Weight of a new outcome in a server's error ratio.
const ERROR_WEIGHT: f64 = 0.1;
/// The estimate is recomputed after one answer for every 8 servers, so that an update takes
/// constant time on average.
const RECOMPUTE_DIVISOR: usize = 8;

/// Statistics of one backend server.
#[derive(Clone, Copy, Debug)]
struct ServerEstimate {
    /// Moving average of the natural logarithm of the latency of successful answers in seconds;
    /// `None` until the first success.
    mean_log_latency: Option<f64>,
    /// Natural logarithm of the latency of the newest successful answer in seconds.
    newest_log_latency: f64,
    error_ratio: f64,
    last_answer_at: Instant,
}

/// Estimates the baseline of one service. Uses medians over servers, not over answers, so a
/// minority of faulty servers cannot move the baseline beyond the values of healthy servers.
#[derive(Clone, Debug, Default)]
pub struct BaselineEstimator {
    servers: HashMap<ServerId, ServerEstimate>,
    answers_since_recompute: usize,
    current: Option<Baseline>,
    scratch: Vec<f64>,
}

impl BaselineEstimator {
    /// Returns an estimator without observations.
    pub fn new() -> BaselineEstimator {
        BaselineEstimator::default()
    }

    /// Records an answer of a backend server. Must not be called for canceled requests.
    pub fn on_answer(&mut self, cx: &mut Cx, server: &ServerId, latency: Duration, ok: bool) {
        if let Some(known) = self.servers.get_mut(server) {
            known.update(cx.now, latency, ok);
        } else if self.servers.len() < MAX_SERVERS {
            let mut known = ServerEstimate::new(cx.now);
            known.update(cx.now, latency, ok);
            self.servers.insert(server.clone(), known);
        }
        self.answers_since_recompute += 1;
        if self.answers_since_recompute * RECOMPUTE_DIVISOR >= self.servers.len() {
            self.recompute(cx.now);
        }
    }

    /// Returns the newest estimate, or `None` while fewer than three backend servers answered
    /// successfully.
    pub fn baseline(&self) -> Option<Baseline> {
        self.current
    }

    fn recompute(&mut self, now: Instant) {
        self.answers_since_recompute = 0;
        self.servers.retain(|_, server| {
            now.saturating_duration_since(server.last_answer_at) < SERVER_EXPIRY
        });
        let mean_log_latency = self.median(|server| server.mean_log_latency);
        // The median of the newest latencies follows a slowdown of the whole service after one
        // answer from more than half of the servers; the moving averages alone would lag by a
        // minute.
        let newest_log_latency =
            self.median(|server| server.mean_log_latency.map(|_| server.newest_log_latency));
        let errors = self.median(|server| Some(server.error_ratio));
        let answered =
            self.servers.values().filter(|server| server.mean_log_latency.is_some()).count();
        self.current = match (mean_log_latency, newest_log_latency, errors) {
            (Some(mean_log_latency), Some(newest_log_latency), Some(error_ratio))
                if answered >= MIN_SERVERS =>
            {
                let median =
                    Duration::from_secs_f64(mean_log_latency.max(newest_log_latency).exp());
                Some(Baseline { median, error_ratio })
            }
            _ => None,
        };
    }

    /// Returns the lower median of a value over the servers. It is the value of a healthy server
    /// even when half of the servers are slow or fail more often.
    fn median(&mut self, value_of: impl Fn(&ServerEstimate) -> Option<f64>) -> Option<f64> {
        self.scratch.clear();
        self.scratch.extend(self.servers.values().filter_map(value_of));
        if self.scratch.is_empty() {
            return None;
        }
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

impl ServerEstimate {
    fn new(now: Instant) -> ServerEstimate {
        ServerEstimate {
            mean_log_latency: None,
            newest_log_latency: 0.0,
            error_ratio: 0.0,
            last_answer_at: now,
        }
    }

    fn update(&mut self, now: Instant, latency: Duration, ok: bool) {
        self.last_answer_at = now;
        let failed = if ok { 0.0 } else { 1.0 };
        self.error_ratio += (failed - self.error_ratio) * ERROR_WEIGHT;
        if !ok {
            return;
        }
        let value = latency.as_secs_f64().max(1e-6).ln();
        self.newest_log_latency = value;
        let mean_log_latency = self.mean_log_latency.get_or_insert(value);
        *mean_log_latency += (value - *mean_log_latency) * LATENCY_WEIGHT;
    }
}
