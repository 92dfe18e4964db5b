//! Grants within the server's slots and within the limit of requests that it names.

use super::{AdmissionController, Ticket};
use crate::placement::SlotRequest;
use crate::placement::rate_limiter::RateLimiter;
use crate::placement::slot_holder::SlotHolder;
use std::time::{Duration, Instant};

/// Maximum number of waiting requests of each kind, nested and top-level, for each slot.
const MAX_QUEUED_PER_SLOT: usize = 8;

/// Time within which all waiting requests of a kind must get a slot by the limit that the server
/// names. Few objectives leave more time.
const LIMITED_QUEUE_TIME: Duration = Duration::from_secs(2);

impl AdmissionController {
    pub(super) fn limiter(&self) -> Option<&RateLimiter> {
        self.server.as_ref().and_then(|server| server.limiter.as_ref())
    }

    /// Returns the number of slots in use and of those that the server's limit leaves usable.
    pub(super) fn available_slots(&self, now: Instant) -> usize {
        let usable =
            self.limiter().map_or(usize::MAX, |limiter| self.used_slots() + limiter.available(now));
        self.slots().min(usable)
    }

    pub(super) fn can_grant(&self, now: Instant) -> bool {
        self.used_slots() < self.available_slots(now)
    }

    /// Returns the maximum number of waiting nested requests, and likewise of waiting top-level
    /// requests.
    pub(super) fn max_waiting_per_kind(&self, now: Instant) -> usize {
        let within_limit = self
            .limiter()
            .map_or(usize::MAX, |limiter| limiter.count_within(now, LIMITED_QUEUE_TIME) + 1);
        (self.slots() * MAX_QUEUED_PER_SLOT).min(within_limit)
    }

    pub(super) fn grant(&mut self, now: Instant, ticket: Ticket, request: SlotRequest) {
        self.last_grant = now;
        let mut holder = SlotHolder::new(now, request);
        if let Some(limiter) = self.server.as_mut().and_then(|server| server.limiter.as_mut()) {
            limiter.take(now);
            holder.is_counted = true;
        }
        self.holders.insert(ticket, holder);
    }

    /// Removes a request that holds a slot. One that has not started does not count in the server's
    /// limit.
    pub(super) fn release(&mut self, now: Instant, ticket: Ticket) -> Option<SlotHolder> {
        let holder = self.holders.remove(&ticket)?;
        if holder.is_counted
            && holder.started_at.is_none()
            && let Some(limiter) = self.server.as_mut().and_then(|server| server.limiter.as_mut())
        {
            limiter.give_back(now);
        }
        Some(holder)
    }
}
