//! Hold: the time that a backend server stays steered or ejected before its probation.

use std::time::{Duration, Instant};

/// Length of the next hold: doubles with each hold and halves with each `halving_time` of full
/// service.
#[derive(Clone, Debug)]
pub(super) struct HoldBackoff {
    base_time: Duration,
    max_time: Duration,
    halving_time: Duration,
    /// Length of the next hold.
    next: Duration,
    /// Number of holds since `next` last decayed to `base_time`. The decay takes effect when a hold
    /// starts, and that hold counts as the first.
    hold_count: u32,
    /// Start of the current full service; `None` while the server is steered, ejected or in
    /// probation.
    serving_since: Option<Instant>,
}

impl HoldBackoff {
    pub(super) fn new(
        base_time: Duration,
        max_time: Duration,
        halving_time: Duration,
        now: Instant,
    ) -> HoldBackoff {
        HoldBackoff {
            base_time,
            max_time,
            halving_time,
            next: base_time,
            hold_count: 0,
            serving_since: Some(now),
        }
    }

    /// Replaces the bounds and clamps the next hold time to them.
    pub(super) fn set_bounds(
        &mut self,
        base_time: Duration,
        max_time: Duration,
        halving_time: Duration,
    ) {
        self.base_time = base_time;
        self.max_time = max_time;
        self.halving_time = halving_time;
        self.next = self.next.clamp(base_time, max_time);
    }

    /// Starts a hold at `now` and returns its length. The next hold is twice as long.
    pub(super) fn next_hold_time(&mut self, now: Instant) -> Duration {
        self.decay(now);
        self.serving_since = None;
        let hold_time = self.next;
        self.next = (self.next * 2).min(self.max_time);
        self.hold_count = self.hold_count.saturating_add(1);
        hold_time
    }

    /// Undoes the last [`HoldBackoff::next_hold_time`], because the evidence against the server is
    /// gone.
    pub(super) fn undo_hold(&mut self, now: Instant) {
        self.next = (self.next / 2).max(self.base_time);
        self.hold_count = self.hold_count.saturating_sub(1);
        self.serving_since = Some(now);
    }

    /// Records that the server is in full service from now on.
    pub(super) fn on_serving(&mut self, now: Instant) {
        self.serving_since = Some(now);
    }

    /// Returns the number of holds since the hold time last decayed to its base. The decay takes
    /// effect when a hold starts, and that hold counts as the first.
    pub(super) fn hold_count(&self) -> u32 {
        self.hold_count
    }

    fn decay(&mut self, now: Instant) {
        let Some(since) = self.serving_since else { return };
        let serving_time = now.saturating_duration_since(since);
        let halvings = serving_time.as_secs_f64() / self.halving_time.as_secs_f64();
        for _ in 0..(halvings as u32).min(32) {
            self.next = (self.next / 2).max(self.base_time);
        }
        if self.next == self.base_time {
            self.hold_count = 0;
        }
    }
}
