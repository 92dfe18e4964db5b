//! Determines which fault is active at a given time when the configured fault flaps. Flapping may
//! be nested.

use super::fault::ServerFault;
use std::time::{Duration, Instant};

/// Shortest effective flapping period. A shorter period would make the accept loop spin.
const MIN_FLAP_PERIOD: Duration = Duration::from_millis(1);

/// The configured fault and the time at which it was set.
#[derive(Clone, Debug)]
pub(super) struct FaultSchedule {
    fault: ServerFault,
    since: Instant,
}

impl FaultSchedule {
    pub(super) fn new(fault: ServerFault, since: Instant) -> FaultSchedule {
        FaultSchedule { fault, since }
    }

    /// Returns the fault that is active at `now`, which never flaps.
    pub(super) fn active_at(&self, now: Instant) -> ServerFault {
        let mut fault = &self.fault;
        while let ServerFault::Flapping { period, duty, inner } = fault {
            let (elapsed_in_period, faulty_time) = self.locate_in_period(now, *period, *duty);
            if elapsed_in_period >= faulty_time {
                return ServerFault::None;
            }
            fault = inner;
        }
        fault.clone()
    }

    /// Returns the next time at which the active fault may change; `None` if the configured fault
    /// does not flap.
    pub(super) fn next_change(&self, now: Instant) -> Option<Instant> {
        let mut fault = &self.fault;
        let mut next = None;
        while let ServerFault::Flapping { period, duty, inner } = fault {
            let (elapsed_in_period, faulty_time) = self.locate_in_period(now, *period, *duty);
            let phase_end = if elapsed_in_period < faulty_time {
                faulty_time
            } else {
                (*period).max(MIN_FLAP_PERIOD)
            };
            let change = now + (phase_end - elapsed_in_period).max(MIN_FLAP_PERIOD);
            next = Some(next.map_or(change, |earlier: Instant| earlier.min(change)));
            fault = inner;
        }
        next
    }

    /// Returns the time since the start of the current period and the length of its faulty phase.
    fn locate_in_period(&self, now: Instant, period: Duration, duty: f64) -> (Duration, Duration) {
        let period = period.max(MIN_FLAP_PERIOD);
        let elapsed = now.saturating_duration_since(self.since);
        let elapsed_in_period =
            Duration::from_nanos((elapsed.as_nanos() % period.as_nanos()) as u64);
        (elapsed_in_period, period.mul_f64(duty.clamp(0.0, 1.0)))
    }
}
