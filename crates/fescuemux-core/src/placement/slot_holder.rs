//! A request that holds a slot of a backend server.

use crate::placement::{RunningTimes, SlotRequest};
use std::time::{Duration, Instant};

/// Multiple of the expected running time after which a running request may lose its slot to a waiting
/// request, if it can run again or has also missed its latency objective. The longest requests of the
/// users' routes take about six times the mean.
const EVICTION_RATIO: f64 = 6.0;

/// The same for an idempotent request at a server that is suspected to be faulty. At a sound server,
/// the request is probably just a long one, and its work would be lost.
const IDEMPOTENT_EVICTION_RATIO: f64 = 3.5;

/// Minimum expected running time; below it, scheduling delays of the process dominate.
pub(super) const MIN_EXPECTED_RUNNING_TIME: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
pub(super) struct SlotHolder {
    pub(super) request: SlotRequest,
    pub(super) granted_at: Instant,
    pub(super) started_at: Option<Instant>,
    /// Time at which the request was evicted, if it has not released its slot since.
    pub(super) evicted_at: Option<Instant>,
    /// Whether the request counts in the limit that the server names.
    pub(super) is_counted: bool,
}

impl SlotHolder {
    pub(super) fn new(now: Instant, request: SlotRequest) -> SlotHolder {
        SlotHolder {
            request,
            granted_at: now,
            started_at: None,
            evicted_at: None,
            is_counted: false,
        }
    }

    /// Returns the time for which the request has run, as a multiple of the expected running time.
    pub(super) fn running_ratio(&self, now: Instant, running_times: &RunningTimes) -> f64 {
        let elapsed =
            self.started_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        running_ratio(running_times, &self.request, elapsed)
    }

    /// Returns whether the request may lose its slot to a waiting one. `is_suspected` is whether its
    /// server is suspected to be faulty.
    pub(super) fn may_be_evicted(
        &self,
        now: Instant,
        running_times: &RunningTimes,
        is_suspected: bool,
    ) -> bool {
        let limit = match self.request.idempotent && is_suspected {
            true => IDEMPOTENT_EVICTION_RATIO,
            false => EVICTION_RATIO,
        };
        let is_retryable_or_late = self.request.idempotent || now > self.request.objective;
        is_retryable_or_late && self.running_ratio(now, running_times) > limit
    }
}

/// Returns `elapsed` as a multiple of the expected running time.
pub(super) fn running_ratio(
    running_times: &RunningTimes,
    request: &SlotRequest,
    elapsed: Duration,
) -> f64 {
    elapsed.as_secs_f64() / expected_running_time(running_times, request).as_secs_f64()
}

/// Returns the expected running time of a request.
pub(super) fn expected_running_time(
    running_times: &RunningTimes,
    request: &SlotRequest,
) -> Duration {
    running_times
        .route_mean(request.route_hash)
        .unwrap_or(request.expected_running_time)
        .max(MIN_EXPECTED_RUNNING_TIME)
}
