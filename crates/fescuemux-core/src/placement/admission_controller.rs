//! Admission at a guard: slots of the one backend server, and the requests that wait for them.

use crate::base::{HashMap, Incarnation, ServerId};
use crate::placement::slot_holder::{SlotHolder, expected_running_time, ratio};
use crate::placement::waiting::{CALLERS_SHARE, Waiting, WaitingRequests};
use crate::placement::{
    Admission, AttemptKind, Evidence, FaultEstimator, InFlightRequest, LoadReport, LocalServer,
    Precedence, Readiness, Refusal, RefusalReason, RequestOutcome, RetryLimits, RunningTimes,
    ServerReport, ServiceRetryBudget, SlotRequest,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of a request at a gate.
pub type Ticket = u64;

/// Time for which a granted slot is held for the request to arrive. Ten times the longest round
/// trip between instances, doubled for a slow process.
const GRANT_TTL: Duration = Duration::from_millis(250);

/// Most calls, and most requests of callers, that wait for each slot.
const QUEUE_PER_SLOT: usize = 8;

/// Multiple of the expected running time from which a request is taken to hang.
const STUCK_RATIO: f64 = 5.0;

/// Servers that left before they were known, of which the last are kept.
const MAX_LEFT: usize = 8;

/// Time in which a request that lost its slot is expected to leave. Its ingress answers at once;
/// one that stops or is cut off does not.
const EVICTION_WAIT: Duration = Duration::from_millis(500);

/// Probability of a fault above which nobody waits at a server: its slots are not to be had
/// before its fault ends, and others of its service serve the request sooner.
const NO_QUEUE_ABOVE: f64 = 0.75;

/// Slots that are assumed to become free at least, when all seem to hang.
const MIN_MOVING: f64 = 0.25;

/// Time without a request after which a server is offered as idle. Sound servers that are wrongly
/// doubted get work within any two seconds so.
const IDLE_AFTER: Duration = Duration::from_millis(1_600);

/// Admission state of one guard.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    server: Option<LocalServer>,
    holders: HashMap<Ticket, SlotHolder>,
    queue: WaitingRequests,
    times: RunningTimes,
    suspicion: FaultEstimator,
    last_grant: Instant,
    stopping: bool,
    budget: ServiceRetryBudget,
    guards: usize,
    /// Servers that left before they were known, with the time of day.
    left: VecDeque<(ServerId, Incarnation)>,
}

impl AdmissionController {
    /// Returns a gate without a server.
    pub fn new(now: Instant, repeats: RetryLimits) -> AdmissionController {
        AdmissionController {
            server: None,
            holders: HashMap::default(),
            queue: WaitingRequests::default(),
            times: RunningTimes::default(),
            suspicion: FaultEstimator::new(now),
            last_grant: now,
            stopping: false,
            budget: ServiceRetryBudget::new(now, repeats),
            guards: 1,
            left: VecDeque::new(),
        }
    }

    /// Returns the server, if one announced itself.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Takes a server's report and returns whether it changed what is believed. A server that
    /// started anew begins without a record. A report that was sent before its server left changes
    /// nothing.
    pub fn on_report(&mut self, now: Instant, report: ServerReport) -> bool {
        if self.left.iter().any(|(id, at)| *id == report.id && report.incarnation <= *at) {
            return false;
        }
        let Some(server) = &mut self.server else {
            self.server = Some(LocalServer::new(now, report));
            return true;
        };
        let incarnation = server.report.incarnation;
        let changed = server.update(now, report);
        if server.report.incarnation != incarnation {
            self.suspicion = FaultEstimator::new(now);
            self.times = RunningTimes::default();
        }
        changed
    }

    /// Marks the server with `id` as gone and returns whether it is the current one. Another one
    /// is remembered with the time of day `at`, in milliseconds since 1970: a process that has just
    /// started may hear of a leaving before a delayed report of the same server.
    pub fn on_server_left(&mut self, at: Incarnation, id: &str) -> bool {
        let Some(server) = self.server.as_mut().filter(|server| server.report.id == id) else {
            if self.left.len() >= MAX_LEFT {
                self.left.pop_front();
            }
            self.left.push_back((id.into(), at));
            return false;
        };
        server.gone = true;
        true
    }

    /// Sets the number of guards of the service, among which its repeats are divided.
    pub fn set_instance_count(&mut self, guards: usize) {
        self.guards = guards;
    }

    /// Refuses new work from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of requests that hold a slot.
    pub fn busy(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the probability that the server fails a request.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let running = self.holders.values().filter_map(|holder| {
            let elapsed = now.saturating_duration_since(holder.started?);
            Some(InFlightRequest {
                elapsed,
                expected_running_time: expected_running_time(&self.times, &holder.work),
            })
        });
        self.suspicion.probability(now, running)
    }

    /// Decides about a request that asks for a slot.
    pub fn request_slot(&mut self, now: Instant, ticket: Ticket, work: SlotRequest) -> Admission {
        if let Some(reason) = self.closed() {
            return Admission::Refused(Refusal { reason, retry_in: self.times.mean() });
        }
        let again = work.attempt == AttemptKind::Retry;
        if again && !self.budget.allows_retry(now, self.guards, work.nested) {
            let reason = RefusalReason::RetryBudget;
            return Admission::Refused(Refusal { reason, retry_in: self.times.mean() });
        }
        if self.queue.is_empty() && self.holders.len() < self.slots() {
            self.hold(now, ticket, work);
            return Admission::Granted;
        }
        let wait = self.wait(now, work.precedence(), expected_running_time(&self.times, &work));
        let refuse = |reason| Admission::Refused(Refusal { reason, retry_in: wait });
        if !work.may_queue || !self.queue.has_room(now, &work, self.most_waiting()) {
            return refuse(RefusalReason::Full);
        }
        if self.failure_probability(now) > NO_QUEUE_ABOVE {
            return refuse(RefusalReason::LikelyFaulty);
        }
        let longest_wait = work.longest_wait(now, expected_running_time(&self.times, &work));
        if wait > longest_wait {
            return refuse(RefusalReason::TooLate);
        }
        let until = if work.nested { now + longest_wait } else { work.last_start() };
        self.queue.push(now, Waiting { ticket, work, until });
        Admission::Queued(wait)
    }

    /// Starts a granted request. Returns false when the grant has run out or the server leaves;
    /// the request does not run then.
    pub fn start(&mut self, now: Instant, ticket: Ticket) -> bool {
        let open = self.server.as_ref().is_some_and(LocalServer::accepts_requests);
        let Some(holder) = self.holders.get_mut(&ticket) else { return false };
        if !open || now.saturating_duration_since(holder.granted) > GRANT_TTL {
            self.holders.remove(&ticket);
            return false;
        }
        holder.started = Some(now);
        match holder.work.attempt {
            AttemptKind::First => self.budget.on_first_attempt(now),
            AttemptKind::NestedInRetry | AttemptKind::Retry => self.budget.on_retry(now),
        }
        true
    }

    /// Gives up a request that waits or holds a grant.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.holders.remove(&ticket);
    }

    /// Frees the slot of a request and learns from its end.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: RequestOutcome) {
        let Some(holder) = self.holders.remove(&ticket) else { return };
        let Some(started) = holder.started else { return };
        let elapsed = now.saturating_duration_since(started);
        let evidence = match outcome {
            RequestOutcome::Answered => {
                self.times.record(holder.work.route, elapsed, holder.work.expected_running_time);
                Evidence::Success
            }
            RequestOutcome::Failed | RequestOutcome::Unreachable => Evidence::Failure,
            RequestOutcome::Abandoned => {
                Evidence::Unanswered(ratio(&self.times, &holder.work, elapsed))
            }
            RequestOutcome::CallFailed | RequestOutcome::Shed => return,
        };
        self.suspicion.add(now, evidence);
    }

    /// Drops grants that were not used in time and returns the waiting requests that get a slot
    /// now, or that no longer can.
    pub fn advance(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        self.holders.retain(|_, holder| {
            holder.started.is_some() || now.saturating_duration_since(holder.granted) <= GRANT_TTL
        });
        let mut decided = self.refuse_waiting(now);
        while self.holders.len() < self.slots() {
            let times = &self.times;
            let next = self.queue.pop_next(now, |work| expected_running_time(times, work));
            let Some(Waiting { ticket, work, .. }) = next else { break };
            self.hold(now, ticket, work);
            decided.push((ticket, Admission::Granted));
        }
        decided
    }

    /// Takes the slots of requests that hang and returns their tickets, the longest running first:
    /// one for each request that waits, or one when all requests at a doubted server hang. Nobody
    /// waits there, and without a free slot it could not show that its fault has ended. A hanging
    /// request that may not be repeated is lost whatever happens; with deadlines of many times the
    /// running time, a few of them would hold all slots of a service.
    pub fn evict(&mut self, now: Instant) -> Vec<Ticket> {
        if self.stopping || self.holders.len() < self.slots() {
            return Vec::new();
        }
        let doubted = self.failure_probability(now) > NO_QUEUE_ABOVE;
        let (evicted, others): (Vec<_>, Vec<_>) =
            self.holders.iter().partition(|(_, holder)| holder.evicted.is_some());
        let leaving = evicted.iter().filter(|(_, holder)| {
            holder.evicted.is_some_and(|at| now.saturating_duration_since(at) < EVICTION_WAIT)
        });
        let hanging = others.iter().filter(|(_, holder)| holder.hangs(now, &self.times));
        let mut hanging: Vec<_> =
            hanging.map(|(ticket, holder)| (holder.started, **ticket)).collect();
        let is_blocked = doubted && hanging.len() == others.len();
        let wanted = self.queue.len().max(usize::from(is_blocked));
        hanging.sort_unstable();
        hanging.truncate(wanted.saturating_sub(leaving.count()));
        for (_, ticket) in &hanging {
            if let Some(holder) = self.holders.get_mut(ticket) {
                holder.evicted = Some(now);
            }
        }
        hanging.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the offer to a request of the given precedence and route. The asker's `expected`
    /// running time serves for a route without a record.
    pub fn load_report(
        &mut self,
        now: Instant,
        precedence: Precedence,
        route: u64,
        expected_running_time: Duration,
    ) -> LoadReport {
        let idle = now.saturating_duration_since(self.last_grant) >= IDLE_AFTER;
        let readiness = match self.closed() {
            Some(_) => Readiness::Closed,
            None if idle => Readiness::Idle,
            None => Readiness::Open,
        };
        let cold = self.server.as_ref().is_some_and(|server| server.cold_until > now);
        let running = self.times.route_mean(route).unwrap_or(expected_running_time)
            * if cold { 2 } else { 1 };
        LoadReport {
            readiness,
            slots: self.slots() as u32,
            busy: self.holders.len() as u32,
            queued: self.queue.len() as u32,
            expected_wait: self.wait(now, precedence, running),
            expected_running_time: running,
            failure_probability: self.failure_probability(now),
        }
    }

    fn closed(&self) -> Option<RefusalReason> {
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        match &self.server {
            None => Some(RefusalReason::NoServer),
            Some(server) if server.gone => Some(RefusalReason::NoServer),
            Some(server) if !server.accepts_requests() => Some(RefusalReason::Draining),
            Some(_) => None,
        }
    }

    fn slots(&self) -> usize {
        self.server.as_ref().map_or(0, |server| server.report.slots)
    }

    /// Most calls, and most requests of callers, that wait.
    fn most_waiting(&self) -> usize {
        self.slots() * QUEUE_PER_SLOT
    }

    fn hold(&mut self, now: Instant, ticket: Ticket, work: SlotRequest) {
        self.last_grant = now;
        self.holders.insert(ticket, SlotHolder::new(now, work));
    }

    /// Expected wait of a new request: those ahead of it leave at the rate at which slots become
    /// free. Slots of requests that seem to hang do not count.
    fn wait(&self, now: Instant, precedence: Precedence, running: Duration) -> Duration {
        if self.queue.is_empty() && self.holders.len() < self.slots() {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(precedence);
        let stuck =
            self.holders.values().filter(|holder| holder.ratio(now, &self.times) > STUCK_RATIO);
        let moving = (self.slots().saturating_sub(stuck.count()) as f64).max(MIN_MOVING);
        let wait = self.times.mean().mul_f64((ahead as f64 + 1.0) / moving);
        if !precedence.top_level {
            return wait;
        }
        let ahead = self.queue.callers_ahead_of(precedence);
        let share = (ahead as f64 + 1.0) / (moving * CALLERS_SHARE);
        wait.min(running.mul_f64(share)).max(self.queue.pace_of(now, precedence.priority))
    }

    /// Refuses waiting requests that cannot end in time or have given way to others, or all when
    /// no new work may begin.
    fn refuse_waiting(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        let closed = self.closed();
        let doubted = self.failure_probability(now) > NO_QUEUE_ABOVE;
        let retry_in = self.times.mean();
        let mut refused = Vec::new();
        let times = &self.times;
        self.queue.retain(|waiting| {
            let too_late = now + expected_running_time(times, &waiting.work) / 2 > waiting.until;
            let reason = closed
                .or(too_late.then_some(RefusalReason::TooLate))
                .or(doubted.then_some(RefusalReason::LikelyFaulty));
            if let Some(reason) = reason {
                let refusal = Refusal { reason, retry_in };
                refused.push((waiting.ticket, Admission::Refused(refusal)));
            }
            reason.is_none()
        });
        let bound = self.most_waiting();
        while let Some(surplus) = self.queue.pop_surplus(now, bound) {
            let refusal = Refusal { reason: RefusalReason::Full, retry_in };
            refused.push((surplus.ticket, Admission::Refused(refusal)));
        }
        refused
    }
}
