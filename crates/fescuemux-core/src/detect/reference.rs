//! Latency and error ratio expected of a healthy backend server.

use super::baseline::Baseline;

/// Number of baselines kept. They come from different ingresses; if two ingresses see the service
/// through a bad network path, the median of five baselines is still one of the other three.
const KEPT_BASELINES: usize = 5;
/// Bounds of the ratio of a server's learned latency to the baseline of the service. The upper
/// bound keeps a slow degradation of the server from being learned as normal.
const OWN_RATIO_BOUNDS: (f64, f64) = (1.0, 2.0);
/// Largest error ratio expected of a healthy server because of the server's own history.
const MAX_OWN_ERROR_RATIO: f64 = 0.1;
/// Change of the natural logarithm of a learned latency or ratio with each request; a factor of two
/// takes about 35 requests.
const LEARNING_STEP: f64 = 0.02;
/// Smallest and largest error ratio assumed for a healthy server.
const ERROR_RATIO_BOUNDS: (f64, f64) = (0.01, 0.9);
/// Factor by which a healthy server may exceed the error ratio of the service.
const ERROR_MARGIN: f64 = 1.5;

/// Newest service-wide baselines and the server's own history.
#[derive(Clone, Debug, Default)]
pub(super) struct Reference {
    /// Median latency of each baseline kept, in seconds.
    medians: [f64; KEPT_BASELINES],
    error_ratios: [f64; KEPT_BASELINES],
    kept_count: usize,
    /// Position of the next baseline in the arrays.
    next: usize,
    /// Running median of the server's own healthy latencies, in seconds.
    own_latency: Option<f64>,
    /// Running median of the ratio of the server's latencies to the baseline; zero before the first
    /// latency.
    own_ratio: f64,
    own_error_ratio: f64,
}

impl Reference {
    pub(super) fn add(&mut self, baseline: Baseline) {
        self.medians[self.next] = baseline.median.as_secs_f64();
        self.error_ratios[self.next] = baseline.error_ratio.clamp(0.0, 1.0);
        self.next = (self.next + 1) % KEPT_BASELINES;
        self.kept_count = (self.kept_count + 1).min(KEPT_BASELINES);
    }

    /// Returns the typical latency of a healthy server in seconds, if one is known.
    pub(super) fn latency(&self) -> Option<f64> {
        match median(self.medians, self.kept_count) {
            Some(service) if service > 0.0 => {
                Some(service * self.own_ratio.clamp(OWN_RATIO_BOUNDS.0, OWN_RATIO_BOUNDS.1))
            }
            _ => self.own_latency,
        }
    }

    /// Returns the error ratio that a healthy server may have.
    pub(super) fn error_ratio(&self) -> f64 {
        let service = median(self.error_ratios, self.kept_count).unwrap_or(0.0) * ERROR_MARGIN;
        let own = self.own_error_ratio.min(MAX_OWN_ERROR_RATIO);
        service.max(own).clamp(ERROR_RATIO_BOUNDS.0, ERROR_RATIO_BOUNDS.1)
    }

    pub(super) fn has_own_latency(&self) -> bool {
        self.own_latency.is_some()
    }

    pub(super) fn set_own_latency(&mut self, latency: f64) {
        self.own_latency = Some(latency);
    }

    /// Learns from the latency of a healthy answer, in seconds. The learned values change by a
    /// fixed factor, so the size of an outlier has no influence.
    pub(super) fn learn_latency(&mut self, latency: f64) {
        if let Some(own_latency) = self.own_latency {
            self.own_latency = Some(own_latency * step_factor(latency, own_latency));
        }
        let Some(service) = median(self.medians, self.kept_count).filter(|service| *service > 0.0)
        else {
            return;
        };
        if self.own_ratio == 0.0 {
            self.own_ratio = 1.0;
        }
        let moved = self.own_ratio * step_factor(latency, service * self.own_ratio);
        self.own_ratio = moved.clamp(OWN_RATIO_BOUNDS.0, OWN_RATIO_BOUNDS.1);
    }

    pub(super) fn learn_outcome(&mut self, failed: bool) {
        let target = if failed { 1.0 } else { 0.0 };
        self.own_error_ratio += (target - self.own_error_ratio) / 1024.0;
    }
}

/// Returns the factor by which `estimate` moves towards `value`.
fn step_factor(value: f64, estimate: f64) -> f64 {
    if value > estimate { LEARNING_STEP.exp() } else { (-LEARNING_STEP).exp() }
}

/// Returns the lower median of the first `count` values.
fn median(mut values: [f64; KEPT_BASELINES], count: usize) -> Option<f64> {
    if count == 0 {
        return None;
    }
    let values = &mut values[..count];
    values.sort_unstable_by(f64::total_cmp);
    Some(values[(count - 1) / 2])
}
