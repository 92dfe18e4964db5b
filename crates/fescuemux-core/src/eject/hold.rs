//! Time that a backend server is held out of service before its probation.

use std::time::{Duration, Instant};

/// Hold time that doubles with each relapse and halves with each `halving_time` of full service.
#[derive(Clone, Debug)]
pub(super) struct HoldTime {
    base_time: Duration,
    max_time: Duration,
    halving_time: Duration,
    next: Duration,
    relapses: u32,
    /// Start of the current uninterrupted full service; `None` while the server is steered,
    /// ejected or in probation.
    serving_since: Option<Instant>,
}

impl HoldTime {
    pub(super) fn new(
        base_time: Duration,
        max_time: Duration,
        halving_time: Duration,
        now: Instant,
    ) -> HoldTime {
        HoldTime {
            base_time,
            max_time,
            halving_time,
            next: base_time,
            relapses: 0,
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

    /// Starts a hold: returns its length and doubles the next one.
    pub(super) fn start(&mut self, now: Instant) -> Duration {
        self.decay(now);
        self.serving_since = None;
        let hold = self.next;
        self.next = (self.next * 2).min(self.max_time);
        self.relapses = self.relapses.saturating_add(1);
        hold
    }

    /// Undoes the last [`HoldTime::start`], because the evidence for it is gone.
    pub(super) fn undo_start(&mut self, now: Instant) {
        self.next = (self.next / 2).max(self.base_time);
        self.relapses = self.relapses.saturating_sub(1);
        self.serving_since = Some(now);
    }

    /// Records that the server is in full service from now on.
    pub(super) fn on_serving(&mut self, now: Instant) {
        self.serving_since = Some(now);
    }

    /// Returns the number of holds since the hold time last decayed to its base.
    pub(super) fn relapses(&self) -> u32 {
        self.relapses
    }

    fn decay(&mut self, now: Instant) {
        let Some(since) = self.serving_since else { return };
        let serving_time = now.saturating_duration_since(since);
        let halvings = serving_time.as_secs_f64() / self.halving_time.as_secs_f64();
        for _ in 0..(halvings as u32).min(32) {
            self.next = (self.next / 2).max(self.base_time);
        }
        if self.next == self.base_time {
            self.relapses = 0;
        }
    }
}
