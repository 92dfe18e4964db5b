//! Deadlines of a process that is shutting down.

use std::time::{Duration, Instant};

/// Time before SIGKILL at which the process exits, even with requests in flight.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Minimum time before the exit at which unplaced requests are refused, so that the refusals still
/// reach their callers.
const REFUSAL_MARGIN: Duration = Duration::from_millis(700);

/// Multiple of the mean running time that must remain for a request to be sent. About one request
/// in twenty runs longer and is cut off at the exit; an early refusal avoids that.
const RUNNING_TIME_FACTOR: f64 = 3.0;

/// Deadlines of a shutdown. A process may receive several stop signals, for example when two plans
/// stop its machine. The deadline of the first signal applies to unplaced requests, because SIGKILL
/// may come then. The deadline of the last signal applies to requests in flight, because SIGKILL
/// may come only then.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    first_signal: Instant,
    last_signal: Instant,
    grace_period: Duration,
}

impl ShutdownDeadlines {
    /// Returns the deadlines of a shutdown requested at `now`, with SIGKILL `grace_period` later.
    pub fn new(now: Instant, grace_period: Duration) -> ShutdownDeadlines {
        ShutdownDeadlines { first_signal: now, last_signal: now, grace_period }
    }

    /// Records another stop signal.
    pub fn on_repeated_stop(&mut self, now: Instant) {
        self.last_signal = now;
    }

    /// Returns whether an unplaced request is refused because it would probably not end in time.
    /// `expected_running_time` is the mean of its route.
    pub fn refuses_unplaced_request(&self, now: Instant, expected_running_time: Duration) -> bool {
        let needed = expected_running_time.mul_f64(RUNNING_TIME_FACTOR).max(REFUSAL_MARGIN);
        now + KILL_MARGIN + needed >= self.first_signal + self.grace_period
    }

    /// Returns whether the process must exit although requests are in flight.
    pub fn must_exit(&self, now: Instant) -> bool {
        now + KILL_MARGIN >= self.last_signal + self.grace_period
    }
}
