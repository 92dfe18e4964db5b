//! Count of requests in the last window.

use std::time::{Duration, Instant};

/// Slots of a window. One more is kept, so that a request counts for at least the whole window.
const SLOTS: usize = 50;

/// Count of requests in a sliding window, with a resolution of 1/50 of the window.
#[derive(Clone, Debug)]
pub(super) struct UsageWindow {
    slots: [u32; SLOTS + 1],
    slot_length: Duration,
    origin: Instant,
    /// Number of the newest slot, counted from `origin`.
    newest: u64,
}

impl UsageWindow {
    pub(super) fn new(now: Instant, window: Duration) -> UsageWindow {
        let slot_length = window / SLOTS as u32;
        UsageWindow { slots: [0; SLOTS + 1], slot_length, origin: now, newest: 0 }
    }

    /// Adds `count` requests that were sent now.
    pub(super) fn add(&mut self, now: Instant, count: u32) {
        self.advance(now);
        self.slots[0] += count;
    }

    /// Removes up to `count` requests that were not sent, the oldest first, so that the others
    /// expire late rather than early.
    pub(super) fn remove(&mut self, now: Instant, mut count: u32) {
        self.advance(now);
        for slot in self.slots.iter_mut().rev() {
            let removed = count.min(*slot);
            *slot -= removed;
            count -= removed;
        }
    }

    /// Returns the number of requests in the last window.
    pub(super) fn count(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.slots.iter().sum()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.origin);
        let newest = (elapsed.as_nanos() / self.slot_length.as_nanos().max(1)) as u64;
        let passed = newest.saturating_sub(self.newest).min(SLOTS as u64 + 1) as usize;
        if passed > 0 {
            self.slots.rotate_right(passed);
            self.slots[..passed].fill(0);
            self.newest = newest;
        }
    }
}
