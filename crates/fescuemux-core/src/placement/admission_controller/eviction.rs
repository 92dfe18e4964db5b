//! Eviction of hanging requests from their slots.

use super::{AdmissionController, NO_QUEUE_PROBABILITY, Ticket};
use std::time::{Duration, Instant};

/// Time in which an evicted request is expected to release its slot; after it, another request may
/// be evicted. The ingress of the request reacts at once, unless it is partitioned or a planned stop
/// of it is under way or just over.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Failure probability above which a server is suspected to be faulty.
const SUSPECT_PROBABILITY: f64 = 0.5;

impl AdmissionController {
    /// Evicts hanging requests for waiting ones and returns the tickets of the evicted requests,
    /// the longest running first.
    ///
    /// For each waiting request, one hanging request is evicted. No request may wait for a server
    /// that is probably faulty, so one is also evicted when all requests on such a server hang:
    /// without a free slot, the server could not show that its fault has ended. A hanging request
    /// that must not run twice is lost in any case. As deadlines are many times the running time, a
    /// few such requests would hold all slots of a service.
    pub fn evict(&mut self, now: Instant) -> Vec<Ticket> {
        if self.shutdown_deadlines.is_some() || self.holders.len() < self.slots() {
            return Vec::new();
        }
        let failure_probability = self.failure_probability(now);
        let likely_faulty = failure_probability > NO_QUEUE_PROBABILITY;
        let is_suspected = failure_probability > SUSPECT_PROBABILITY;
        let (evicted, others): (Vec<_>, Vec<_>) =
            self.holders.iter().partition(|(_, holder)| holder.evicted_at.is_some());
        let pending_release = evicted.iter().filter(|(_, holder)| {
            holder.evicted_at.is_some_and(|evicted_at| {
                now.saturating_duration_since(evicted_at) < EVICTION_TIMEOUT
            })
        });
        let evictable = others
            .iter()
            .filter(|(_, holder)| holder.may_be_evicted(now, &self.running_times, is_suspected));
        let mut evictable: Vec<_> =
            evictable.map(|(ticket, holder)| (holder.started_at, **ticket)).collect();
        let is_blocked = likely_faulty && evictable.len() == others.len();
        let needed_evictions = self.queue.len().max(usize::from(is_blocked));
        evictable.sort_unstable();
        evictable.truncate(needed_evictions.saturating_sub(pending_release.count()));
        for (_, ticket) in &evictable {
            if let Some(holder) = self.holders.get_mut(ticket) {
                holder.evicted_at = Some(now);
            }
        }
        evictable.into_iter().map(|(_, ticket)| ticket).collect()
    }
}
