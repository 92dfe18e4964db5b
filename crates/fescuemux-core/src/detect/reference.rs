//! The latency and error ratio that a backend server is held to.

use super::baseline::Baseline;

/// Baselines kept. They come from different ingresses, and the median of five is not moved by
/// two ingresses that see the service through a bad path.
const KEPT: usize = 5;
/// Bounds of how much slower or faster than the service a server may be by its own past. The
/// upper bound keeps a server that sickens slowly from becoming its own standard.
const OWN_RATIO: (f64, f64) = (1.0, 2.0);
/// Own past may excuse an error ratio of at most this.
const OWN_ERRORS: f64 = 0.1;
/// Step of the learned logarithms for one request; a factor of two takes about 35 requests.
const STEP: f64 = 0.02;
/// Smallest and largest error ratio assumed of a healthy server.
const ERRORS: (f64, f64) = (0.01, 0.9);
/// A healthy server may have this many times the service's error ratio.
const ERROR_MARGIN: f64 = 1.5;

/// Service-wide baselines and the server's own past.
#[derive(Clone, Debug, Default)]
pub(super) struct Reference {
    medians: [f64; KEPT],
    errors: [f64; KEPT],
    kept: usize,
    next: usize,
    /// Median of the server's own healthy latencies, seconds.
    own: Option<f64>,
    /// That median relative to the baseline.
    own_ratio: f64,
    own_errors: f64,
}

impl Reference {
    pub(super) fn add(&mut self, baseline: Baseline) {
        self.medians[self.next] = baseline.median.as_secs_f64();
        self.errors[self.next] = baseline.error_ratio.clamp(0.0, 1.0);
        self.next = (self.next + 1) % KEPT;
        self.kept = (self.kept + 1).min(KEPT);
    }

    /// Returns the latency in seconds that is typical of a healthy server, if anything is known.
    pub(super) fn latency(&self) -> Option<f64> {
        match median(self.medians, self.kept) {
            Some(service) if service > 0.0 => {
                Some(service * self.own_ratio.clamp(OWN_RATIO.0, OWN_RATIO.1))
            }
            _ => self.own,
        }
    }

    /// Returns the error ratio that a healthy server may have.
    pub(super) fn error_ratio(&self) -> f64 {
        let service = median(self.errors, self.kept).unwrap_or(0.0) * ERROR_MARGIN;
        let own = self.own_errors.min(OWN_ERRORS);
        service.max(own).clamp(ERRORS.0, ERRORS.1)
    }

    pub(super) fn knows_own(&self) -> bool {
        self.own.is_some()
    }

    pub(super) fn set_own(&mut self, latency: f64) {
        self.own = Some(latency);
    }

    /// Learns from a healthy answer. Moves by fixed steps, so outliers do not count by size.
    pub(super) fn learn_latency(&mut self, latency: f64) {
        if let Some(own) = self.own {
            self.own = Some(own * step(latency, own));
        }
        let Some(service) = median(self.medians, self.kept).filter(|service| *service > 0.0) else {
            return;
        };
        if self.own_ratio == 0.0 {
            self.own_ratio = 1.0;
        }
        let moved = self.own_ratio * step(latency, service * self.own_ratio);
        self.own_ratio = moved.clamp(OWN_RATIO.0, OWN_RATIO.1);
    }

    pub(super) fn learn_error(&mut self, failed: bool) {
        let target = if failed { 1.0 } else { 0.0 };
        self.own_errors += (target - self.own_errors) / 1024.0;
    }
}

fn step(value: f64, estimate: f64) -> f64 {
    if value > estimate { STEP.exp() } else { (-STEP).exp() }
}

fn median(mut values: [f64; KEPT], kept: usize) -> Option<f64> {
    if kept == 0 {
        return None;
    }
    let values = &mut values[..kept];
    values.sort_unstable_by(f64::total_cmp);
    Some(values[(kept - 1) / 2])
}
