//! The fault in force at a time.

use super::fault::ServerFault;
use std::time::{Duration, Instant};

/// Shortest flapping period that is honored; shorter ones would make the listener spin.
const MIN_PERIOD: Duration = Duration::from_millis(1);

/// A fault and the time since which it is set.
#[derive(Clone, Debug)]
pub(super) struct Faults {
    fault: ServerFault,
    since: Instant,
}

impl Faults {
    pub(super) fn new(fault: ServerFault, since: Instant) -> Faults {
        Faults { fault, since }
    }

    /// Returns the fault in force at `now`, with flapping resolved.
    pub(super) fn in_force(&self, now: Instant) -> ServerFault {
        let mut fault = &self.fault;
        while let ServerFault::Flapping { period, duty, inner } = fault {
            let (position, bad) = self.position(now, *period, *duty);
            if position >= bad {
                return ServerFault::None;
            }
            fault = inner;
        }
        fault.clone()
    }

    /// Returns the next time at which the fault in force may change by itself.
    pub(super) fn next_change(&self, now: Instant) -> Option<Instant> {
        let mut fault = &self.fault;
        let mut next = None;
        while let ServerFault::Flapping { period, duty, inner } = fault {
            let (position, bad) = self.position(now, *period, *duty);
            let end = if position < bad { bad } else { (*period).max(MIN_PERIOD) };
            let change = now + (end - position).max(MIN_PERIOD);
            next = Some(next.map_or(change, |earlier: Instant| earlier.min(change)));
            fault = inner;
        }
        next
    }

    /// Returns the time into the current period and the length of its bad phase.
    fn position(&self, now: Instant, period: Duration, duty: f64) -> (Duration, Duration) {
        let period = period.max(MIN_PERIOD);
        let elapsed = now.saturating_duration_since(self.since);
        let position = Duration::from_nanos((elapsed.as_nanos() % period.as_nanos()) as u64);
        (position, period.mul_f64(duty.clamp(0.0, 1.0)))
    }
}
