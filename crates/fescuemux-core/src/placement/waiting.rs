//! Requests that wait for a slot of one backend server.

use crate::base::HashMap;
use crate::fair_queue::{FairShare, FairShares};
use crate::placement::{AttemptKind, Precedence, SlotRequest, Ticket};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// Share of the slots' time that top-level requests get while nested requests wait too. Without
/// this share, an overload of nested requests would leave top-level requests of the class
/// [`Upload`](crate::placement::RequestClass::Upload) less than the minimum service that the users
/// require for every kind of request; with a share of 0.3, fewer requests are served in total.
pub(super) const TOP_LEVEL_SLOT_SHARE: f64 = 0.1;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    pub(super) request: SlotRequest,
    /// Time before which at least half of the request's expected running time must fit; otherwise
    /// the request is refused.
    pub(super) expires_at: Instant,
    /// Position among top-level requests of the same priority; see [`FairShares`].
    fair_tag: f64,
}

impl WaitingRequest {
    pub(super) fn new(ticket: Ticket, request: SlotRequest, expires_at: Instant) -> WaitingRequest {
        WaitingRequest { ticket, request, expires_at, fair_tag: 0.0 }
    }
}

/// Number of granted slots at which a [`SlotRate`] halves its count of slots and its time, so that
/// the rate follows changes within a few slots.
const RATE_WINDOW_SLOTS: u32 = 8;

/// Rate at which top-level requests of one priority get slots. The measurement starts anew when
/// such a request joins the queue and no other top-level request of its priority waits.
#[derive(Clone, Copy, Debug)]
struct SlotRate {
    since: Instant,
    slots: u32,
}

impl SlotRate {
    fn on_slot(&mut self, now: Instant) {
        self.slots += 1;
        if self.slots >= RATE_WINDOW_SLOTS {
            self.since += now.saturating_duration_since(self.since) / 2;
            self.slots /= 2;
        }
    }

    /// Returns the estimated time until `requests` top-level requests of this priority have got
    /// slots. The rate counts one slot more than were granted, as if the next slot were granted
    /// now. So the estimate is finite before the first grant, and grows until the next grant.
    fn time_until_granted(self, now: Instant, requests: usize) -> Duration {
        let elapsed = now.saturating_duration_since(self.since);
        elapsed.mul_f64(requests as f64 / f64::from(self.slots + 1))
    }
}

/// Queue of waiting requests. Nested and top-level requests have separate limits, so that neither
/// fills the queue for the other.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<WaitingRequest>,
    /// Slot time that top-level requests are owed for their share, in seconds.
    deficit: f64,
    /// Slot rates of top-level requests by priority.
    slot_rates: HashMap<u8, SlotRate>,
    /// Shares of the customers whose top-level requests wait, by priority.
    fair_shares: HashMap<u8, FairShares>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of waiting requests that will count as retries.
    pub(super) fn retry_count(&self) -> usize {
        self.requests.iter().filter(|w| w.request.attempt != AttemptKind::First).count()
    }

    pub(super) fn push(&mut self, now: Instant, mut waiting: WaitingRequest) {
        let SlotRequest { nested, priority, share, expected_running_time, .. } = waiting.request;
        if !nested {
            let is_first = self.top_level_count(priority) == 0;
            let fair_shares = self.fair_shares.entry(priority).or_default();
            if is_first {
                self.slot_rates.insert(priority, SlotRate { since: now, slots: 0 });
                fair_shares.clear();
            }
            waiting.fair_tag = fair_shares.add(share, expected_running_time);
        }
        self.requests.push(waiting);
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes the requests for which `keep` returns false.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&WaitingRequest) -> bool) {
        let fair_shares = &mut self.fair_shares;
        self.requests.retain(|waiting| {
            let keeps = keep(waiting);
            if !keeps {
                withdraw(fair_shares, &waiting.request);
            }
            keeps
        });
    }

    /// Returns the number of waiting requests that go before a new request of the given precedence
    /// and customer; waiting requests of the same position count too.
    pub(super) fn ahead_of(&self, precedence: Precedence, share: Option<FairShare>) -> usize {
        let position = self.position(precedence, share);
        self.requests.iter().filter(|w| goes_before(w, position)).count()
    }

    /// Returns the number of waiting top-level requests that go before a new request, counted as in
    /// [`WaitQueue::ahead_of`].
    pub(super) fn top_level_ahead_of(
        &self,
        precedence: Precedence,
        share: Option<FairShare>,
    ) -> usize {
        let position = self.position(precedence, share);
        let top_level = self.requests.iter().filter(|w| !w.request.nested);
        top_level.filter(|w| goes_before(w, position)).count()
    }

    /// Returns the position of a new request among the waiting ones.
    fn position(&self, precedence: Precedence, share: Option<FairShare>) -> (Precedence, f64) {
        let fair_shares = self.fair_shares.get(&precedence.priority);
        let fair_shares = fair_shares.filter(|_| precedence.top_level);
        (precedence, fair_shares.map_or(0.0, |shares| shares.next_tag(share)))
    }

    /// Returns the estimated wait of a new top-level request of this priority, from the rate at
    /// which such requests got slots. The number of waiting requests alone would underestimate the
    /// wait, as nested requests and requests of higher priority that arrive later go first.
    pub(super) fn estimated_wait(
        &self,
        now: Instant,
        priority: u8,
        share: Option<FairShare>,
    ) -> Duration {
        let position = self.position(Precedence::top_level(priority), share);
        let of_priority = self.requests.iter().filter(|w| {
            !w.request.nested && w.request.priority == priority && goes_before(w, position)
        });
        let ahead = of_priority.count();
        let rate = self.slot_rates.get(&priority).filter(|_| ahead > 0);
        rate.map_or(Duration::ZERO, |rate| rate.time_until_granted(now, ahead + 1))
    }

    fn top_level_count(&self, priority: u8) -> usize {
        let top_level = self.requests.iter().filter(|w| !w.request.nested);
        top_level.filter(|w| w.request.priority == priority).count()
    }

    /// Returns whether a request may join the queue: fewer than `limit` requests of its kind
    /// (nested or top-level) wait, or the request goes before the last of them, which is then
    /// refused.
    pub(super) fn has_room(&self, now: Instant, request: &SlotRequest, limit: usize) -> bool {
        let last = self.last_index(now, request.nested);
        let (_, fair_tag) = self.position(request.precedence(), request.share);
        self.count(request.nested) < limit
            || last.is_some_and(|index| {
                let last = &self.requests[index];
                let last_order = queue_order(now, &last.request, last.fair_tag);
                last_order.total_cmp(&queue_order(now, request, fair_tag)) == Ordering::Greater
            })
    }

    /// Removes and returns the last request of a kind that exceeds its limit.
    pub(super) fn pop_excess(&mut self, now: Instant, limit: usize) -> Option<WaitingRequest> {
        let nested = [true, false].into_iter().find(|nested| self.count(*nested) > limit)?;
        let last = self.last_index(now, nested)?;
        let excess = self.requests.remove(last);
        withdraw(&mut self.fair_shares, &excess.request);
        Some(excess)
    }

    /// Removes and returns the request that gets the next slot. Nested requests go first until the
    /// deficit reaches the expected running time of the next top-level request.
    pub(super) fn pop_next(
        &mut self,
        now: Instant,
        expected_running_time: impl Fn(&SlotRequest) -> Duration,
    ) -> Option<WaitingRequest> {
        let first_index = |nested: bool| {
            let requests = self.requests.iter().enumerate();
            let requests = requests.filter(|(_, w)| w.request.nested == nested);
            let first = requests.min_by(|(_, a), (_, b)| {
                let order = |w: &WaitingRequest| queue_order(now, &w.request, w.fair_tag);
                order(a).total_cmp(&order(b))
            });
            first.map(|(index, _)| index)
        };
        let index = match (first_index(true), first_index(false)) {
            (Some(nested), Some(top_level)) => {
                let running_seconds = |index: usize| {
                    expected_running_time(&self.requests[index].request).as_secs_f64()
                };
                let (nested_time, top_level_time) =
                    (running_seconds(nested), running_seconds(top_level));
                if self.deficit >= top_level_time {
                    self.deficit -= top_level_time;
                    top_level
                } else {
                    self.deficit +=
                        nested_time * TOP_LEVEL_SLOT_SHARE / (1.0 - TOP_LEVEL_SLOT_SHARE);
                    nested
                }
            }
            (nested, top_level) => {
                self.deficit = 0.0;
                nested.or(top_level)?
            }
        };
        let next = self.requests.remove(index);
        let fair_shares = self.fair_shares.get_mut(&next.request.priority);
        if let Some(fair_shares) = fair_shares.filter(|_| !next.request.nested) {
            fair_shares.on_served(next.fair_tag);
        }
        if let Some(rate) =
            self.slot_rates.get_mut(&next.request.priority).filter(|_| !next.request.nested)
        {
            rate.on_slot(now);
        }
        Some(next)
    }

    fn count(&self, nested: bool) -> usize {
        self.requests.iter().filter(|w| w.request.nested == nested).count()
    }

    /// Returns the index of the nested or top-level request that would go last.
    fn last_index(&self, now: Instant, nested: bool) -> Option<usize> {
        let requests = self.requests.iter().enumerate().filter(|(_, w)| w.request.nested == nested);
        let last = requests.max_by(|(_, a), (_, b)| {
            let order = |w: &WaitingRequest| queue_order(now, &w.request, w.fair_tag);
            order(a).total_cmp(&order(b))
        });
        last.map(|(index, _)| index)
    }
}

/// Removes a request that leaves the queue without a slot from the shares of its customer.
fn withdraw(fair_shares: &mut HashMap<u8, FairShares>, request: &SlotRequest) {
    if let Some(fair_shares) = fair_shares.get_mut(&request.priority).filter(|_| !request.nested) {
        fair_shares.withdraw(request.share, request.expected_running_time);
    }
}

fn goes_before(waiting: &WaitingRequest, (precedence, fair_tag): (Precedence, f64)) -> bool {
    let order = waiting.request.precedence().cmp(&precedence);
    order.then(waiting.fair_tag.total_cmp(&fair_tag)) != Ordering::Greater
}

/// Sort key of waiting requests.
struct QueueOrder {
    is_late: bool,
    precedence: Precedence,
    fair_tag: f64,
    objective: Instant,
}

impl QueueOrder {
    fn total_cmp(&self, other: &QueueOrder) -> Ordering {
        (self.is_late, self.precedence)
            .cmp(&(other.is_late, other.precedence))
            .then(self.fair_tag.total_cmp(&other.fair_tag))
            .then(self.objective.cmp(&other.objective))
    }
}

/// Returns the sort key of a waiting request: top-level requests that can no longer meet their
/// objective go last, then precedence, the shares of the customers and the objective decide. A late
/// nested request is worth as much as its parent's work, so it is not sorted last.
fn queue_order(now: Instant, request: &SlotRequest, fair_tag: f64) -> QueueOrder {
    let is_late = !request.nested && now + request.expected_running_time > request.objective;
    QueueOrder { is_late, precedence: request.precedence(), fair_tag, objective: request.objective }
}
