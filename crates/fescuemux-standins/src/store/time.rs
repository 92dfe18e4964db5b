//! System clock and virtual clock of a stand-in store.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Clock that determines when leases expire.
#[derive(Debug)]
pub(crate) enum Clock {
    /// System clock, with the time at which the store was created.
    System(Instant),
    /// Virtual clock that advances only on request.
    Virtual(Mutex<Duration>),
}

impl Clock {
    /// Returns the time since the store was created.
    pub(crate) fn now(&self) -> Duration {
        match self {
            Clock::System(start) => start.elapsed(),
            Clock::Virtual(now) => *now.lock().expect("no thread panicked while holding the lock"),
        }
    }

    /// Advances the virtual clock by `time`, or sleeps on the system clock.
    pub(crate) fn advance(&self, time: Duration) {
        match self {
            Clock::System(_) => std::thread::sleep(time),
            Clock::Virtual(now) => {
                *now.lock().expect("no thread panicked while holding the lock") += time
            }
        }
    }
}
