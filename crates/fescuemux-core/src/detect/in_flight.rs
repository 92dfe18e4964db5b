//! Requests that a backend server has not finished.

use crate::base::RequestId;
use std::time::{Duration, Instant};

/// Maximum number of requests tracked; a server has 4 slots today. Requests beyond this number are
/// no evidence, neither in flight nor when they finish.
const MAX_TRACKED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: RequestId,
    /// Start of the request, or the last reset of ages.
    counted_from: Instant,
    /// Whether ages were reset while the request ran, so that its latency is no evidence.
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

    /// Removes a request. Returns its start time, or `None` when the request was not tracked or its
    /// latency is no evidence.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<Instant> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        let entry = self.entries.swap_remove(index);
        (!entry.latency_unknown).then_some(entry.counted_from)
    }

    /// Restarts the age of every request at `now`, because the time before `now` is no evidence.
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
