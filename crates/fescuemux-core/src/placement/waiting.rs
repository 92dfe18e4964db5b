//! Requests that wait for the slots of one backend server.

use crate::base::HashMap;
use crate::placement::{Precedence, SlotRequest, Ticket};
use std::time::{Duration, Instant};

/// Share of the slots' time that requests of callers get while calls of running requests wait
/// too. Without one, an overload by calls leaves uploads that compete with them less than the
/// users' least share of a kind; with three tenths, fewer requests are served in all.
pub(super) const CALLERS_SHARE: f64 = 0.1;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) work: SlotRequest,
    /// Time at which it is refused if it has no slot.
    pub(super) until: Instant,
}

/// Slots given to callers' requests of one rank from which half is forgotten, so that the pace
/// follows changes within some slots.
const PACE_SLOTS: u32 = 8;

/// Pace at which callers' requests of one rank get slots, since one of them last began to wait.
#[derive(Clone, Copy, Debug)]
struct Pace {
    since: Instant,
    slots: u32,
}

impl Pace {
    fn on_slot(&mut self, now: Instant) {
        self.slots += 1;
        if self.slots >= PACE_SLOTS {
            self.since += now.saturating_duration_since(self.since) / 2;
            self.slots /= 2;
        }
    }

    /// Returns the time for `requests` of them, which is at least as long as it took so far.
    fn time(self, now: Instant, requests: usize) -> Duration {
        let passed = now.saturating_duration_since(self.since);
        passed.mul_f64(requests as f64 / f64::from(self.slots + 1))
    }
}

/// Requests that wait. Calls of running requests and requests of callers are bounded apart, so
/// that neither fills the queue for the other.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingRequests {
    requests: Vec<Waiting>,
    /// Slot time by which requests of callers are short of their share, seconds.
    deficit: f64,
    /// Pace of callers' requests by rank.
    paces: HashMap<u8, Pace>,
}

impl WaitingRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn push(&mut self, now: Instant, waiting: Waiting) {
        let SlotRequest { nested, priority, .. } = waiting.work;
        if !nested && self.callers_of(priority) == 0 {
            self.paces.insert(priority, Pace { since: now, slots: 0 });
        }
        self.requests.push(waiting);
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.requests.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes the requests for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl FnMut(&Waiting) -> bool) {
        self.requests.retain(keep);
    }

    /// Returns the number of requests that go before or with one of the given precedence.
    pub(super) fn ahead_of(&self, precedence: Precedence) -> usize {
        self.requests.iter().filter(|w| w.work.precedence() <= precedence).count()
    }

    /// Returns the same number of requests of callers only.
    pub(super) fn callers_ahead_of(&self, precedence: Precedence) -> usize {
        let callers = self.requests.iter().filter(|w| !w.work.nested);
        callers.filter(|w| w.work.precedence() <= precedence).count()
    }

    /// Returns the time until a new caller's request of this rank gets a slot, by the pace at
    /// which those that wait got theirs. Calls and requests of better ranks that come later go
    /// first, so the requests that wait now do not tell.
    pub(super) fn pace_of(&self, now: Instant, priority: u8) -> Duration {
        let ahead = self.callers_of(priority);
        let pace = self.paces.get(&priority).filter(|_| ahead > 0);
        pace.map_or(Duration::ZERO, |pace| pace.time(now, ahead + 1))
    }

    fn callers_of(&self, priority: u8) -> usize {
        let callers = self.requests.iter().filter(|w| !w.work.nested);
        callers.filter(|w| w.work.priority == priority).count()
    }

    /// Returns whether a request may join: there is room, or the last of its kind gives way.
    pub(super) fn has_room(&self, now: Instant, work: &SlotRequest, bound: usize) -> bool {
        let last = self.last(now, work.nested);
        self.count(work.nested) < bound
            || last.is_some_and(|at| turn(now, &self.requests[at].work) > turn(now, work))
    }

    /// Removes and returns the last call or request of a caller that is beyond its bound.
    pub(super) fn pop_surplus(&mut self, now: Instant, bound: usize) -> Option<Waiting> {
        let nested = [true, false].into_iter().find(|nested| self.count(*nested) > bound)?;
        let last = self.last(now, nested)?;
        Some(self.requests.remove(last))
    }

    /// Removes and returns the request that gets the next slot. Calls go first until the callers'
    /// requests that wait are short of the time of one; `expected` is the running time.
    pub(super) fn pop_next(
        &mut self,
        now: Instant,
        expected_running_time: impl Fn(&SlotRequest) -> Duration,
    ) -> Option<Waiting> {
        let first = |nested: bool| {
            let requests = self.requests.iter().enumerate();
            let requests = requests.filter(|(_, w)| w.work.nested == nested);
            requests.min_by_key(|(_, w)| turn(now, &w.work)).map(|(at, _)| at)
        };
        let at = match (first(true), first(false)) {
            (Some(call), Some(own)) => {
                let time = |at: usize| expected_running_time(&self.requests[at].work).as_secs_f64();
                let (call_time, own_time) = (time(call), time(own));
                if self.deficit >= own_time {
                    self.deficit -= own_time;
                    own
                } else {
                    self.deficit += call_time * CALLERS_SHARE / (1.0 - CALLERS_SHARE);
                    call
                }
            }
            (call, own) => {
                self.deficit = 0.0;
                call.or(own)?
            }
        };
        let next = self.requests.remove(at);
        if let Some(pace) = self.paces.get_mut(&next.work.priority).filter(|_| !next.work.nested) {
            pace.on_slot(now);
        }
        Some(next)
    }

    fn count(&self, nested: bool) -> usize {
        self.requests.iter().filter(|w| w.work.nested == nested).count()
    }

    /// Returns the place of the call, or of the caller's request, that would go last.
    fn last(&self, now: Instant, nested: bool) -> Option<usize> {
        let requests = self.requests.iter().enumerate().filter(|(_, w)| w.work.nested == nested);
        requests.max_by_key(|(_, w)| turn(now, &w.work)).map(|(at, _)| at)
    }
}

/// Order of waiting requests: calls, then requests that can still meet their objective, then by
/// precedence and time. A late call is worth as much as its caller's work.
fn turn(now: Instant, work: &SlotRequest) -> (bool, Precedence, Instant) {
    let late = !work.nested && now + work.expected_running_time > work.objective;
    (late, work.precedence(), work.objective)
}
