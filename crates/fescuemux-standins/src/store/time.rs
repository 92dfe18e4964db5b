//! Time of a stand-in store.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Source of the time that leases are measured by.
#[derive(Debug)]
pub(crate) enum Time {
    /// The machine's clock.
    System(Instant),
    /// A clock that moves only when told to.
    Virtual(Mutex<Duration>),
}

impl Time {
    /// Returns the time since the store was created.
    pub(crate) fn now(&self) -> Duration {
        match self {
            Time::System(start) => start.elapsed(),
            Time::Virtual(now) => *now.lock().expect("no holder panics"),
        }
    }

    /// Lets `time` pass: sleeps, or moves the virtual clock.
    pub(crate) fn pass(&self, time: Duration) {
        match self {
            Time::System(_) => std::thread::sleep(time),
            Time::Virtual(now) => *now.lock().expect("no holder panics") += time,
        }
    }
}
