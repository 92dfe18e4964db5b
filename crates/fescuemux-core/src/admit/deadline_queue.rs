//! Bounded queue that drops requests that are no longer expected to finish before their deadline.

use crate::admit::{PushOutcome, QueueConfig, QueueRejectReason, QueuedRequest, RejectedRequest};
use crate::base::{CallerId, Cx, HashMap, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum cost of a request, in units.
const MAX_COST: u32 = 64;

/// Requests of one priority, in deficit round robin over their callers.
#[derive(Debug)]
struct PriorityClass<T> {
    callers: HashMap<CallerId, CallerQueue<T>>,
    /// Callers with waiting requests, in round-robin order.
    round_robin: VecDeque<CallerId>,
}

/// Waiting requests of one caller.
#[derive(Debug)]
struct CallerQueue<T> {
    waiting: VecDeque<QueuedRequest<T>>,
    /// Unused credit, in units of cost.
    deficit: u32,
    /// Whether the caller has received its quantum in the current round.
    credited: bool,
}

/// Queue of requests that wait for a slot, limited in length and by deadlines.
#[derive(Debug)]
pub struct DeadlineQueue<T> {
    cfg: QueueConfig,
    classes: BTreeMap<u8, PriorityClass<T>>,
    len: usize,
    /// Moving average of service times, in seconds.
    service_time: f64,
}

impl<T> DeadlineQueue<T> {
    /// Returns an empty queue.
    pub fn new(cfg: QueueConfig) -> DeadlineQueue<T> {
        let service_time = cfg.initial_service_time.as_secs_f64();
        DeadlineQueue { cfg, classes: BTreeMap::new(), len: 0, service_time }
    }

    /// Changes the maximum length. Requests already in the queue stay.
    pub fn set_max_len(&mut self, max_len: usize) {
        self.cfg.max_len = max_len;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the mean time for which a request uses a slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time)
    }

    /// Records the service time of a request.
    pub fn record_service_time(&mut self, time: Duration) {
        const SAMPLE_WEIGHT: f64 = 0.1;
        self.service_time += SAMPLE_WEIGHT * (time.as_secs_f64() - self.service_time);
    }

    /// Returns whether a request that starts at `now` is expected to finish by `deadline`.
    pub fn can_finish(&self, now: Instant, deadline: Instant) -> bool {
        now + self.service_time() <= deadline
    }

    /// Adds a request. `slots` is the number of requests that the server can run concurrently.
    ///
    /// # Errors
    ///
    /// Rejects the request with the verdict "not run" when the request is not expected to finish in
    /// time, or when the queue is full and no waiting request may be displaced.
    pub fn push(
        &mut self,
        cx: &mut Cx,
        slots: u32,
        request: QueuedRequest<T>,
    ) -> Result<PushOutcome<T>, RejectedRequest<T>> {
        let wait = self.expected_wait(slots, &request);
        if !self.can_finish(cx.now + wait, request.deadline) {
            return Err(self.reject(slots, request, QueueRejectReason::CannotFinish));
        }
        if self.len < self.cfg.max_len {
            self.insert(request);
            return Ok(PushOutcome::Queued);
        }
        match self.displace(&request) {
            Some(displaced) => {
                self.insert(request);
                Ok(PushOutcome::Displaced(displaced))
            }
            None => Err(self.reject(slots, request, QueueRejectReason::Full)),
        }
    }

    /// Removes and returns the next request to start. Requests that can no longer finish are moved
    /// to `expired`; their verdict is "not run".
    pub fn pop(
        &mut self,
        cx: &mut Cx,
        expired: &mut Vec<QueuedRequest<T>>,
    ) -> Option<QueuedRequest<T>> {
        while let Some(next) = self.pop_next() {
            if self.can_finish(cx.now, next.deadline) {
                return Some(next);
            }
            expired.push(next);
        }
        None
    }

    /// Removes all requests that can no longer finish; their verdict is "not run".
    pub fn expire(&mut self, cx: &mut Cx) -> Vec<QueuedRequest<T>> {
        let service_time = self.service_time();
        let is_late = |w: &QueuedRequest<T>| cx.now + service_time > w.deadline;
        self.drain_matching(is_late)
    }

    /// Removes and returns the next request, even if it can no longer finish. Used when the server
    /// stops accepting requests.
    pub fn pop_any(&mut self) -> Option<QueuedRequest<T>> {
        self.pop_next()
    }

    /// Removes the request `id`, for example when its caller disconnected.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest<T>> {
        self.drain_matching(|w| w.id == id).pop()
    }

    /// Returns the earliest time from which a waiting request can no longer finish.
    pub fn next_expiry(&self) -> Option<Instant> {
        let caller_queues = self.classes.values().flat_map(|c| c.callers.values());
        let first_deadline =
            caller_queues.flat_map(|c| c.waiting.iter()).map(|w| w.deadline).min()?;
        Some(first_deadline.checked_sub(self.service_time()).unwrap_or(first_deadline))
    }

    fn insert(&mut self, mut request: QueuedRequest<T>) {
        // Bounds the number of round-robin rounds until the request gets enough credit.
        request.cost = request.cost.min(MAX_COST);
        let class = self.classes.entry(request.priority).or_insert_with(|| PriorityClass {
            callers: HashMap::default(),
            round_robin: VecDeque::new(),
        });
        let caller = request.caller.clone();
        let caller_queue = class.callers.entry(caller.clone()).or_insert_with(|| {
            class.round_robin.push_back(caller);
            CallerQueue { waiting: VecDeque::new(), deficit: 0, credited: false }
        });
        caller_queue.waiting.push_back(request);
        self.len += 1;
    }

    /// Removes the next request by priority, then by deficit round robin.
    fn pop_next(&mut self) -> Option<QueuedRequest<T>> {
        let quantum = self.cfg.quantum.max(1);
        let mut entry = self.classes.first_entry()?;
        let next = entry.get_mut().pop(quantum);
        if entry.get().round_robin.is_empty() {
            entry.remove();
        }
        self.len -= usize::from(next.is_some());
        next
    }

    /// Removes the newest request of the caller with the most waiting requests in the lowest
    /// priority, if `newcomer` has a higher priority (a lower number), or the same priority and a
    /// caller that would still have fewer waiting requests.
    fn displace(&mut self, newcomer: &QueuedRequest<T>) -> Option<QueuedRequest<T>> {
        let mut lowest_class = self.classes.last_entry()?;
        let priority = *lowest_class.key();
        if newcomer.priority > priority {
            return None;
        }
        let class = lowest_class.get_mut();
        let (longest_caller, longest_len) = class
            .round_robin
            .iter()
            .map(|caller| (caller, class.callers.get(caller).map_or(0, |c| c.waiting.len())))
            .max_by_key(|(_, len)| *len)?;
        let own_len = class.callers.get(&newcomer.caller).map_or(0, |c| c.waiting.len());
        if newcomer.priority == priority && own_len + 1 >= longest_len {
            return None;
        }
        let longest_caller = longest_caller.clone();
        let displaced = class.callers.get_mut(&longest_caller)?.waiting.pop_back()?;
        class.remove_if_empty(&longest_caller);
        if class.round_robin.is_empty() {
            lowest_class.remove();
        }
        self.len -= 1;
        Some(displaced)
    }

    fn drain_matching(
        &mut self,
        predicate: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = vec![];
        for class in self.classes.values_mut() {
            class.drain_matching(&predicate, &mut removed);
        }
        self.classes.retain(|_, class| !class.round_robin.is_empty());
        self.len -= removed.len();
        removed
    }

    /// Returns the expected time until all waiting requests of the same or a higher priority have
    /// got slots, when all slots are busy.
    fn expected_wait(&self, slots: u32, request: &QueuedRequest<T>) -> Duration {
        let ahead: usize = self
            .classes
            .range(..=request.priority)
            .flat_map(|(_, class)| class.callers.values())
            .map(|caller_queue| caller_queue.waiting.len())
            .sum();
        self.queueing_time(ahead, slots)
    }

    fn queueing_time(&self, ahead: usize, slots: u32) -> Duration {
        Duration::from_secs_f64(self.service_time * ahead as f64 / f64::from(slots.max(1)))
    }

    fn reject(
        &self,
        slots: u32,
        request: QueuedRequest<T>,
        reason: QueueRejectReason,
    ) -> RejectedRequest<T> {
        let retry_after = self.queueing_time(self.len.max(1), slots);
        RejectedRequest { request, reason, retry_after }
    }
}

impl<T> PriorityClass<T> {
    fn pop(&mut self, quantum: u32) -> Option<QueuedRequest<T>> {
        loop {
            let caller = self.round_robin.front()?.clone();
            let caller_queue = self.callers.get_mut(&caller)?;
            if !caller_queue.credited {
                caller_queue.deficit = caller_queue.deficit.saturating_add(quantum);
                caller_queue.credited = true;
            }
            let cost = caller_queue.waiting.front().map_or(0, |w| w.cost);
            if cost > caller_queue.deficit {
                caller_queue.credited = false;
                self.round_robin.rotate_left(1);
                continue;
            }
            caller_queue.deficit -= cost;
            let next = caller_queue.waiting.pop_front();
            self.remove_if_empty(&caller);
            return next;
        }
    }

    fn remove_if_empty(&mut self, caller: &CallerId) {
        if self.callers.get(caller).is_some_and(|c| c.waiting.is_empty()) {
            self.callers.remove(caller);
            self.round_robin.retain(|other| other != caller);
        }
    }

    fn drain_matching(
        &mut self,
        predicate: &impl Fn(&QueuedRequest<T>) -> bool,
        removed: &mut Vec<QueuedRequest<T>>,
    ) {
        for caller_queue in self.callers.values_mut() {
            let (gone, kept) =
                std::mem::take(&mut caller_queue.waiting).into_iter().partition(predicate);
            caller_queue.waiting = kept;
            removed.extend::<VecDeque<_>>(gone);
        }
        self.callers.retain(|_, caller_queue| !caller_queue.waiting.is_empty());
        self.round_robin.retain(|caller| self.callers.contains_key(caller));
    }
}
