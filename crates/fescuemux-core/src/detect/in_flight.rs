//! Requests that a backend server has not finished.

use crate::base::RequestId;
use std::time::{Duration, Instant};

/// Requests tracked; a server has 4 slots today. Further ones are not evidence while in flight.
const MOST_TRACKED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: RequestId,
    since: Instant,
    /// Set when the observer was paused while the request ran, so its latency is not known.
    tainted: bool,
}

/// Bounded table of requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    entries: Vec<Entry>,
}

impl InFlight {
    pub(super) fn start(&mut self, id: RequestId, now: Instant) {
        if self.entries.len() < MOST_TRACKED {
            self.entries.push(Entry { id, since: now, tainted: false });
        }
    }

    /// Removes a request. Returns the time since which its age counted, or `None` when its
    /// latency is not evidence.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<Instant> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        let entry = self.entries.swap_remove(index);
        (!entry.tainted).then_some(entry.since)
    }

    /// Starts the age of every request anew, because the time before `now` is not evidence.
    pub(super) fn restart(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.since = now;
            entry.tainted = true;
        }
    }

    pub(super) fn ages(&self, now: Instant) -> impl Iterator<Item = Duration> {
        self.entries.iter().map(move |entry| now.saturating_duration_since(entry.since))
    }
}
