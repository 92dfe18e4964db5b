//! Requests that a backend server has not finished.

use crate::base::RequestId;
use std::time::{Duration, Instant};

/// Maximum number of requests tracked; a server has 4 slots today. Further requests are not
/// evidence while in flight.
const MAX_TRACKED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: RequestId,
    counted_from: Instant,
    /// Set when ages were reset while the request ran, so its latency is not evidence.
    latency_unknown: bool,
}

/// Bounded table of requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    entries: Vec<Entry>,
}

impl InFlight {
    pub(super) fn start(&mut self, id: RequestId, now: Instant) {
        if self.entries.len() < MAX_TRACKED {
            self.entries.push(Entry { id, counted_from: now, latency_unknown: false });
        }
    }

    /// Removes a request. Returns its start time, or `None` when its latency is not evidence.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<Instant> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        let entry = self.entries.swap_remove(index);
        (!entry.latency_unknown).then_some(entry.counted_from)
    }

    /// Restarts the age of every request at `now`, because earlier time is not evidence.
    pub(super) fn reset_ages(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.counted_from = now;
            entry.latency_unknown = true;
        }
    }

    pub(super) fn ages(&self, now: Instant) -> impl Iterator<Item = Duration> {
        self.entries.iter().map(move |entry| now.saturating_duration_since(entry.counted_from))
    }
}
