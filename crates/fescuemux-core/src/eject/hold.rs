//! Time that a backend server waits before its probation.

use std::time::{Duration, Instant};

/// Hold time that doubles with each relapse and halves with each long good time.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    base: Duration,
    longest: Duration,
    hold_halving_time: Duration,
    next: Duration,
    relapses: u32,
    /// Start of the current time of full service. Time in which the server is steered, ejected
    /// or in probation is not good time.
    good_since: Option<Instant>,
}

impl Hold {
    pub(super) fn new(
        base: Duration,
        longest: Duration,
        hold_halving_time: Duration,
        now: Instant,
    ) -> Hold {
        Hold { base, longest, hold_halving_time, next: base, relapses: 0, good_since: Some(now) }
    }

    /// Replaces the bounds. The next hold time moves into them.
    pub(super) fn set_bounds(
        &mut self,
        base: Duration,
        longest: Duration,
        hold_halving_time: Duration,
    ) {
        self.base = base;
        self.longest = longest;
        self.hold_halving_time = hold_halving_time;
        self.next = self.next.clamp(base, longest);
    }

    /// Returns the hold time of a server that turns sick now, and doubles the next one.
    pub(super) fn begin(&mut self, now: Instant) -> Duration {
        self.decay(now);
        self.good_since = None;
        let hold = self.next;
        self.next = (self.next * 2).min(self.longest);
        self.relapses = self.relapses.saturating_add(1);
        hold
    }

    /// Takes back the last [`Hold::begin`], because the evidence behind it was withdrawn.
    pub(super) fn withdraw(&mut self, now: Instant) {
        self.next = (self.next / 2).max(self.base);
        self.relapses = self.relapses.saturating_sub(1);
        self.good_since = Some(now);
    }

    /// Notes that the server serves in full from now on.
    pub(super) fn serve(&mut self, now: Instant) {
        self.good_since = Some(now);
    }

    /// Returns how often the server turned sick since the hold time last decayed to its base.
    pub(super) fn relapses(&self) -> u32 {
        self.relapses
    }

    fn decay(&mut self, now: Instant) {
        let Some(since) = self.good_since else { return };
        let good = now.saturating_duration_since(since);
        let halvings = good.as_secs_f64() / self.hold_halving_time.as_secs_f64();
        for _ in 0..(halvings as u32).min(32) {
            self.next = (self.next / 2).max(self.base);
        }
        if self.next == self.base {
            self.relapses = 0;
        }
    }
}
