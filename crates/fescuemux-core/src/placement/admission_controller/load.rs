//! Load and expected waits, as reported to ingresses and told to refused requests.

use super::AdmissionController;
use crate::fair_queue::FairShare;
use crate::placement::waiting::TOP_LEVEL_SLOT_SHARE;
use crate::placement::{LoadReport, Precedence, Readiness};
use std::time::{Duration, Instant};

/// Multiple of the expected running time after which a running request counts as hanging: the
/// expected wait assumes that its slot does not become free. Eviction has its own limits.
const HANGING_RATIO: f64 = 5.0;

/// Number of usable slots that the expected wait assumes when the requests in all slots hang.
const MIN_AVAILABLE_SLOTS: f64 = 0.25;

/// Time without a granted slot after which a server is reported as idle. Idempotent requests go to
/// idle servers first, so a healthy server that is wrongly considered faulty gets a request at
/// least every two seconds.
const IDLE_AFTER: Duration = Duration::from_millis(1_600);

impl AdmissionController {
    /// Returns the load as seen by a request without a customer; see
    /// [`AdmissionController::load_report_for`].
    pub fn load_report(
        &mut self,
        now: Instant,
        precedence: Precedence,
        route_hash: u64,
        expected_running_time: Duration,
    ) -> LoadReport {
        self.load_report_for(now, precedence, None, route_hash, expected_running_time)
    }

    /// Returns the load as seen by a request of the given precedence, customer and route.
    /// `expected_running_time` is the ingress's estimate, used until this server has answered a
    /// request of the route.
    pub fn load_report_for(
        &mut self,
        now: Instant,
        precedence: Precedence,
        share: Option<FairShare>,
        route_hash: u64,
        expected_running_time: Duration,
    ) -> LoadReport {
        let is_cold = self.server.as_ref().is_some_and(|server| server.cold_until > now);
        let running_time =
            self.running_times.route_mean(route_hash).unwrap_or(expected_running_time)
                * if is_cold { 2 } else { 1 };
        let is_idle = now.saturating_duration_since(self.last_grant) >= IDLE_AFTER
            && self.limiter().is_none_or(|limiter| limiter.available(now) > 0);
        let readiness = match self.closed_reason(now, running_time) {
            Some(_) => Readiness::Closed,
            None if is_idle => Readiness::Idle,
            None => Readiness::Open,
        };
        LoadReport {
            readiness,
            slots: self.available_slots(now) as u32,
            used_slots: self.holders.len() as u32,
            queued: self.queue.len() as u32,
            expected_wait: self.expected_wait(now, precedence, share, running_time),
            expected_running_time: running_time,
            failure_probability: self.failure_probability(now),
            shed_probability: self.shed_rate.probability(now),
        }
    }

    /// Returns the expected wait of a new request, at the rate at which slots become free for the
    /// requests ahead of it, and at the rate of the limit that the server names. Slots of hanging
    /// requests do not count.
    ///
    /// For a top-level request, the wait is limited to the time in which [`TOP_LEVEL_SLOT_SHARE`]
    /// of the slots serves the top-level requests ahead, and then raised to
    /// [`WaitQueue::estimated_wait`] if requests of its priority got slots more slowly than that.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        precedence: Precedence,
        share: Option<FairShare>,
        running_time: Duration,
    ) -> Duration {
        let ahead = self.queue.ahead_of(precedence, share);
        let limit_wait =
            self.limiter().map_or(Duration::ZERO, |limiter| limiter.time_until(now, ahead + 1));
        if self.queue.is_empty() && self.holders.len() < self.slots() {
            return limit_wait;
        }
        let hanging = self
            .holders
            .values()
            .filter(|holder| holder.running_ratio(now, &self.running_times) > HANGING_RATIO);
        let available =
            (self.slots().saturating_sub(hanging.count()) as f64).max(MIN_AVAILABLE_SLOTS);
        let expected_wait = self.running_times.mean().mul_f64((ahead as f64 + 1.0) / available);
        if !precedence.top_level {
            return expected_wait.max(limit_wait);
        }
        let ahead = self.queue.top_level_ahead_of(precedence, share);
        let wait_in_running_times = (ahead as f64 + 1.0) / (available * TOP_LEVEL_SLOT_SHARE);
        expected_wait
            .min(running_time.mul_f64(wait_in_running_times))
            .max(self.queue.estimated_wait(now, precedence.priority, share))
            .max(limit_wait)
    }
}
