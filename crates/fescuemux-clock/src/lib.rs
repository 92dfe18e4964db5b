//! Clock of the operating system, for processes that drive the decisions of `fescuemux-core`.

use fescuemux_core::base::Clock;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime};

/// Clock of the operating system, whose monotonic time counts the time in which the machine was
/// suspended. [`Instant::now`] and the timers of tokio do not count it on Linux, so the times of
/// this clock must not be passed to timers; pass the time left instead.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Instant,
    started_since_boot: Duration,
}

impl BootClock {
    /// Returns a clock that shows [`Instant::now`] at first.
    pub fn new() -> BootClock {
        BootClock { started_at: Instant::now(), started_since_boot: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> BootClock {
        BootClock::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.started_at + since_boot().saturating_sub(self.started_since_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since the machine booted, with suspensions.
fn since_boot() -> Duration {
    // The clock exists on every Linux since 2.6.39; without it, no time would pass.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
