//! A request that holds a slot of a backend server.

use crate::placement::{RunningTimes, SlotRequest};
use std::time::{Duration, Instant};

/// Multiple of the expected running time from which a request loses its slot to one that waits.
/// The longest work of the users' routes takes about six times its mean.
const EVICT_RATIO: f64 = 6.0;

/// The same multiple for a request that runs again elsewhere.
const EVICT_REPEATABLE: f64 = 3.5;

/// Least expected running time; below it, delays of the process itself decide.
const MIN_EXPECTED: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
pub(super) struct SlotHolder {
    pub(super) work: SlotRequest,
    pub(super) granted: Instant,
    pub(super) started: Option<Instant>,
    /// Time at which the request lost its slot to another, which it has not left yet.
    pub(super) evicted: Option<Instant>,
}

impl SlotHolder {
    pub(super) fn new(now: Instant, work: SlotRequest) -> SlotHolder {
        SlotHolder { work, granted: now, started: None, evicted: None }
    }

    /// Returns the time for which the request has run, as a multiple of the expected one.
    pub(super) fn ratio(&self, now: Instant, times: &RunningTimes) -> f64 {
        let elapsed = self.started.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        ratio(times, &self.work, elapsed)
    }

    /// Returns whether the request may lose its slot to one that waits.
    pub(super) fn hangs(&self, now: Instant, times: &RunningTimes) -> bool {
        let bound = if self.work.idempotent { EVICT_REPEATABLE } else { EVICT_RATIO };
        let is_late = self.work.idempotent || now > self.work.objective;
        is_late && self.ratio(now, times) > bound
    }
}

/// Returns a running time as a multiple of the expected one.
pub(super) fn ratio(times: &RunningTimes, work: &SlotRequest, elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() / expected_running_time(times, work).as_secs_f64()
}

/// Returns the expected running time of a request.
pub(super) fn expected_running_time(times: &RunningTimes, work: &SlotRequest) -> Duration {
    times.route_mean(work.route).unwrap_or(work.expected_running_time).max(MIN_EXPECTED)
}
