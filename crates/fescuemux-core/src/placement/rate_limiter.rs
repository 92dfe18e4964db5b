//! Rate at which a backend server gets requests while it names a limit.

use std::time::{Duration, Instant};

/// Time for which a server's unused share of its limit is kept, so that requests that arrive
/// unevenly use the limit, and a server in need gets no bursts.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Minimum rate, in requests per second. Only a response tells that a limit has ended, so a server
/// that names a lower limit gets a request now and then.
const MIN_RATE: f64 = 0.25;

/// Slack for rounding errors, in requests.
const EPSILON: f64 = 1e-9;

/// Token bucket of the requests that a server may get.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimiter {
    /// Limit that the server named, in requests per second.
    limit: f64,
    tokens: f64,
    updated_at: Instant,
}

impl RateLimiter {
    /// Returns a limiter without tokens. The server names the limit because it has too much to do.
    pub(super) fn new(now: Instant, limit: f64) -> RateLimiter {
        RateLimiter { limit, tokens: 0.0, updated_at: now }
    }

    /// Returns the limit that the server named, in requests per second.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Replaces the limit and returns whether it changed.
    pub(super) fn set_limit(&mut self, now: Instant, limit: f64) -> bool {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Returns the number of requests that the server may get now.
    pub(super) fn available(&self, now: Instant) -> usize {
        (self.tokens_at(now) + EPSILON).max(0.0) as usize
    }

    /// Counts a request. One that is beyond the limit, because it was granted before the server
    /// named it, delays later ones.
    pub(super) fn take(&mut self, now: Instant) {
        self.tokens = (self.tokens_at(now) - 1.0).max(-self.capacity());
        self.updated_at = now;
    }

    /// Reverts [`RateLimiter::take`] for a request that the server does not get.
    pub(super) fn give_back(&mut self, now: Instant) {
        self.tokens = (self.tokens_at(now) + 1.0).min(self.capacity());
        self.updated_at = now;
    }

    /// Returns the time until the server may get this number of requests more.
    pub(super) fn time_until(&self, now: Instant, requests: usize) -> Duration {
        let missing = (requests as f64 - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.rate())
    }

    /// Returns the number of requests that the server may get within `duration`, from now on.
    pub(super) fn count_within(&self, now: Instant, duration: Duration) -> usize {
        (self.tokens_at(now).max(0.0) + self.rate() * duration.as_secs_f64()) as usize
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * self.rate()).min(self.capacity())
    }

    fn rate(&self) -> f64 {
        self.limit.max(MIN_RATE)
    }

    fn capacity(&self) -> f64 {
        (self.rate() * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
