//! When a process that was told to stop ends.

use std::time::{Duration, Instant};

/// Time before SIGKILL at which the process ends, whatever is under way.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Least time before the end in which requests that are not placed get their refusal.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Multiple of the mean running time that must be left for a request to be sent. About one in
/// twenty runs longer; what still runs at the end is broken off, which a refusal avoids.
const RUNNING_MARGIN: f64 = 3.0;

/// Times of a stop. A process may be told to stop more than once, as when two plans name its
/// machine. Requests that are not placed are refused by the first time, after which the process
/// may be killed; those that run keep it alive until the last, in case it is not.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    first: Instant,
    last: Instant,
    grace: Duration,
}

impl ShutdownDeadlines {
    /// Returns the times of a stop that was asked for at `now`; SIGKILL comes after `grace`.
    pub fn new(now: Instant, grace: Duration) -> ShutdownDeadlines {
        ShutdownDeadlines { first: now, last: now, grace }
    }

    /// Notes that the process was told to stop again.
    pub fn on_repeated_stop(&mut self, now: Instant) {
        self.last = now;
    }

    /// Returns whether a request that is not placed is refused, as it would probably not end in
    /// time. Requests like it run for `running` on average.
    pub fn refuses_unplaced_request(&self, now: Instant, running: Duration) -> bool {
        let needed = running.mul_f64(RUNNING_MARGIN).max(ANSWER_MARGIN);
        now + KILL_MARGIN + needed >= self.first + self.grace
    }

    /// Returns whether the process ends with requests under way.
    pub fn must_exit(&self, now: Instant) -> bool {
        now + KILL_MARGIN >= self.last + self.grace
    }
}
