//! Deadlines of a process that is shutting down.

use std::time::{Duration, Instant};

/// Time before the expected SIGKILL at which the process exits, even with requests in flight.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit from which all requests without a slot are refused, so that the refusals
/// still reach the callers.
const REFUSAL_MARGIN: Duration = Duration::from_millis(700);

/// Multiple of the mean running time that must remain before the exit for a request to be sent. A
/// request with less time left is refused, because the exit might cut it off. About one request in
/// twenty runs even longer.
const RUNNING_TIME_FACTOR: f64 = 3.0;

/// Time after the first signal in which the guard still admits requests. Callers leave only after
/// two failed readiness checks, so the process runs a little longer than this anyway; a server whose
/// guard refused everything meanwhile would be unused without need.
const ADMISSION_TIME: Duration = Duration::from_secs(2);

/// Deadlines of a shutdown. A process may receive several stop signals, for example when its
/// machine is told to stop twice. The process does not know whether SIGKILL follows the first or
/// the last signal. Requests that have no slot yet must be answered in time for the earlier
/// SIGKILL, so the first signal sets their deadline. Requests in flight may go on until the later
/// SIGKILL, so the last signal sets theirs.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    first_signal: Instant,
    last_signal: Instant,
    grace_period: Duration,
}

impl ShutdownDeadlines {
    /// Returns the deadlines of a shutdown whose first signal came at `now`. SIGKILL follows a
    /// signal by `grace_period`.
    pub fn new(now: Instant, grace_period: Duration) -> ShutdownDeadlines {
        ShutdownDeadlines { first_signal: now, last_signal: now, grace_period }
    }

    /// Records another stop signal.
    pub fn on_repeated_stop(&mut self, now: Instant) {
        self.last_signal = now;
    }

    /// Returns whether a request that has no slot yet is refused because the exit might cut it off
    /// or its refusal might come too late. `expected_running_time` is the mean of its route.
    pub fn refuses_unplaced_request(&self, now: Instant, expected_running_time: Duration) -> bool {
        let needed = expected_running_time.mul_f64(RUNNING_TIME_FACTOR).max(REFUSAL_MARGIN);
        now + KILL_MARGIN + needed >= self.first_signal + self.grace_period
    }

    /// Returns whether the guard refuses a request that has no slot yet.
    pub fn refuses_admission(&self, now: Instant, expected_running_time: Duration) -> bool {
        now >= self.first_signal + ADMISSION_TIME
            || self.refuses_unplaced_request(now, expected_running_time)
    }

    /// Returns whether the process must exit although requests are in flight.
    pub fn must_exit(&self, now: Instant) -> bool {
        now + KILL_MARGIN >= self.last_signal + self.grace_period
    }
}
