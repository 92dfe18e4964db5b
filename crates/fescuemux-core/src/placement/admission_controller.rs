//! Admission control of one instance: the slots of its backend server, and the requests that wait
//! for them.

mod eviction;
mod limits;
mod load;

use crate::base::{HashMap, Incarnation};
use crate::placement::slot_holder::{SlotHolder, expected_running_time, running_ratio};
use crate::placement::waiting::{WaitQueue, WaitingRequest};
use crate::placement::{
    Admission, AttemptKind, Departure, Evidence, FaultEstimator, InFlightRequest, LocalServer,
    MAX_DEPARTURES, NoticeChange, Refusal, RelayedNotice, RequestOutcome, RetryLimits,
    RunningTimes, ServerNotice, ServerReport, ServiceRetryBudget, ShedRate, ShutdownDeadlines,
    SlotRefusalReason, SlotRequest,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Identifies a request for a slot at one [`AdmissionController`].
pub type Ticket = u64;

/// Time after which a granted slot is taken back if its request has not arrived. It is twenty times
/// the longest round trip between instances, so that a slow process can still send its request in
/// time.
const GRANT_TTL: Duration = Duration::from_millis(250);

/// Failure probability above which no request may wait for a server: its slots stay in use until
/// its fault ends, and other servers of its service answer sooner.
const NO_QUEUE_PROBABILITY: f64 = 0.75;

/// Admission state of one instance.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    server: Option<LocalServer>,
    holders: HashMap<Ticket, SlotHolder>,
    queue: WaitQueue,
    running_times: RunningTimes,
    fault_estimator: FaultEstimator,
    shed_rate: ShedRate,
    last_grant: Instant,
    shutdown_deadlines: Option<ShutdownDeadlines>,
    retry_budget: ServiceRetryBudget,
    /// Departures of servers that were not the current one, oldest first.
    departed: VecDeque<Departure>,
}

impl AdmissionController {
    /// Returns a controller without a server.
    pub fn new(now: Instant, retry_limits: RetryLimits) -> AdmissionController {
        AdmissionController {
            server: None,
            holders: HashMap::default(),
            queue: WaitQueue::default(),
            running_times: RunningTimes::default(),
            fault_estimator: FaultEstimator::new(now),
            shed_rate: ShedRate::new(now),
            last_grant: now,
            shutdown_deadlines: None,
            retry_budget: ServiceRetryBudget::new(now, retry_limits),
            departed: VecDeque::new(),
        }
    }

    /// Allows retries from now on as if the process had run for a window, because it is the first of
    /// its instance.
    pub fn on_first_start(&mut self, now: Instant) {
        self.retry_budget.allow_slack(now);
    }

    /// Returns the current server, or `None` before the first report.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Applies a server's report and returns whether the server, its phase or its number of slots
    /// changed. A new incarnation starts without running times and without evidence of faults. A
    /// report is ignored if its server is known to have left after that incarnation started.
    pub fn on_report(&mut self, now: Instant, report: ServerReport) -> bool {
        if self
            .departed
            .iter()
            .any(|left| left.server == report.id && report.incarnation <= left.incarnation)
        {
            return false;
        }
        let Some(server) = &mut self.server else {
            self.server = Some(LocalServer::new(now, report));
            return true;
        };
        let incarnation = server.report.incarnation;
        let changed = server.update(now, report);
        if server.report.incarnation != incarnation {
            self.fault_estimator = FaultEstimator::new(now);
            self.shed_rate = ShedRate::new(now);
            self.running_times = RunningTimes::default();
        }
        changed
    }

    /// Applies what the server said in a response to a request that was sent to this incarnation,
    /// and returns what changed.
    pub fn on_notice(
        &mut self,
        now: Instant,
        id: &str,
        incarnation: Incarnation,
        notice: ServerNotice,
    ) -> NoticeChange {
        let server = self.server.as_mut().filter(|server| server.is(id, incarnation));
        server.map_or(NoticeChange::default(), |server| server.on_notice(now, notice))
    }

    /// Applies what an ingress has relayed of the server, and returns what changed. A process that
    /// has just started learns from it what an earlier process knew.
    pub fn on_relayed_notice(&mut self, now: Instant, notice: &RelayedNotice) -> NoticeChange {
        let server =
            self.server.as_mut().filter(|server| server.is(&notice.server, notice.incarnation));
        server.map_or(NoticeChange::default(), |server| server.on_relayed_notice(now, notice))
    }

    /// Applies a departure, and returns whether the current server was not known to be gone. A
    /// departure of any other server is remembered: a process that has just started may learn of
    /// it before a delayed report of that server arrives.
    pub fn on_departure(&mut self, departure: Departure) -> bool {
        let server = self.server.as_mut().filter(|server| server.report.id == departure.server);
        if let Some(server) = server {
            let leaves = server.report.incarnation <= departure.incarnation;
            return leaves && !std::mem::replace(&mut server.gone, true);
        }
        let known = self.departed.iter_mut().find(|known| known.server == departure.server);
        if let Some(known) = known {
            known.incarnation = known.incarnation.max(departure.incarnation);
            return false;
        }
        if self.departed.len() >= MAX_DEPARTURES {
            self.departed.pop_front();
        }
        self.departed.push_back(departure);
        false
    }

    /// Returns the incarnation that leaves when the server `id` announces its departure at the
    /// wall-clock time `now_ms`, in milliseconds since 1970 like an incarnation. `stated` is the
    /// incarnation that the server states, if any.
    pub fn departing_incarnation(
        &self,
        now_ms: u64,
        id: &str,
        stated: Option<Incarnation>,
    ) -> Incarnation {
        let current = self.server.as_ref().filter(|server| server.report.id == id);
        stated.or(current.map(|server| server.report.incarnation)).unwrap_or(now_ms)
    }

    /// Sets the number of known instances whose backend server belongs to the service. Each of them
    /// may use an equal part of [`RetryLimits::slack`], the retries that the fleet may make
    /// regardless of the number of first attempts.
    pub fn set_instance_count(&mut self, now: Instant, instance_count: usize) {
        self.retry_budget.set_instance_count(now, instance_count);
    }

    /// Begins the shutdown. Requests that can end long before the exit are admitted for some time
    /// still; see [`ShutdownDeadlines::refuses_admission`].
    pub fn stop(&mut self, shutdown_deadlines: ShutdownDeadlines) {
        self.shutdown_deadlines = Some(shutdown_deadlines);
    }

    /// Returns the number of slots in use, including slots whose requests have not arrived yet.
    pub fn used_slots(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the probability that the server fails a request.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let in_flight = self.holders.values().filter_map(|holder| {
            let elapsed = now.saturating_duration_since(holder.started_at?);
            Some(InFlightRequest {
                elapsed,
                expected_running_time: expected_running_time(&self.running_times, &holder.request),
            })
        });
        self.fault_estimator.probability(now, in_flight)
    }

    /// Grants a slot, queues the request or refuses it.
    pub fn request_slot(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: SlotRequest,
    ) -> Admission {
        let running_time = expected_running_time(&self.running_times, &request);
        if let Some(reason) = self.closed_reason(now, running_time) {
            return Admission::Refused(Refusal { reason, retry_in: self.running_times.mean() });
        }
        let pending = self.pending_retries();
        if !self.retry_budget.allows(now, request.attempt, request.nested, pending) {
            let reason = SlotRefusalReason::RetryBudget;
            return Admission::Refused(Refusal { reason, retry_in: self.running_times.mean() });
        }
        if self.queue.is_empty() && self.can_grant(now) {
            self.grant(now, ticket, request);
            return Admission::Granted;
        }
        let expected_wait =
            self.expected_wait(now, request.precedence(), request.share, running_time);
        let refuse = |reason| Admission::Refused(Refusal { reason, retry_in: expected_wait });
        if !request.may_queue || !self.queue.has_room(now, &request, self.max_waiting_per_kind(now))
        {
            let has_free_slot = self.holders.len() < self.slots();
            let limited = has_free_slot && self.limiter().is_some();
            return refuse(match limited {
                true => SlotRefusalReason::Limited,
                false => SlotRefusalReason::Full,
            });
        }
        if self.failure_probability(now) > NO_QUEUE_PROBABILITY {
            return refuse(SlotRefusalReason::LikelyFaulty);
        }
        let max_wait = request.max_wait(now, running_time);
        if expected_wait > max_wait {
            return refuse(SlotRefusalReason::TooLate);
        }
        let expires_at = if request.nested { now + max_wait } else { request.queue_deadline() };
        self.queue.push(now, WaitingRequest::new(ticket, request, expires_at));
        Admission::Queued(expected_wait)
    }

    /// Starts a granted request. Returns false when there is no valid grant or the server accepts
    /// no new requests; the request then does not run.
    pub fn start(&mut self, now: Instant, ticket: Ticket) -> bool {
        let accepts_requests = self.server.as_ref().is_some_and(LocalServer::accepts_requests);
        let Some(holder) = self.holders.get_mut(&ticket) else { return false };
        if !accepts_requests || now.saturating_duration_since(holder.granted_at) > GRANT_TTL {
            self.release(now, ticket);
            return false;
        }
        holder.started_at = Some(now);
        // The server may have named the limit after the grant.
        if !holder.is_counted
            && let Some(limiter) = self.server.as_mut().and_then(|server| server.limiter.as_mut())
        {
            limiter.take(now);
            holder.is_counted = true;
        }
        match holder.request.attempt {
            AttemptKind::First => self.retry_budget.on_first_attempt(now),
            AttemptKind::NestedInRetry | AttemptKind::Retry => self.retry_budget.on_retry(now),
        }
        true
    }

    /// Removes a request that waits or holds a slot.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.release(now, ticket);
    }

    /// Releases the slot of a request and records its outcome.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: RequestOutcome) {
        let Some(holder) = self.release(now, ticket) else { return };
        let Some(started) = holder.started_at else { return };
        let elapsed = now.saturating_duration_since(started);
        if outcome != RequestOutcome::Abandoned {
            self.shed_rate.record(now, outcome == RequestOutcome::Shed);
        }
        let evidence = match outcome {
            RequestOutcome::Answered => {
                self.running_times.record(
                    holder.request.route_hash,
                    elapsed,
                    holder.request.expected_running_time,
                );
                Evidence::Success
            }
            RequestOutcome::Failed | RequestOutcome::Unreachable => Evidence::Failure,
            RequestOutcome::Abandoned => {
                Evidence::Unanswered(running_ratio(&self.running_times, &holder.request, elapsed))
            }
            RequestOutcome::CallFailed | RequestOutcome::Shed => return,
        };
        self.fault_estimator.add(now, evidence);
    }

    /// Drops expired grants and returns the waiting requests that get a slot now or are refused.
    pub fn advance(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        let is_expired = |holder: &SlotHolder| {
            holder.started_at.is_none()
                && now.saturating_duration_since(holder.granted_at) > GRANT_TTL
        };
        let expired = self.holders.iter().filter(|(_, holder)| is_expired(holder));
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.release(now, ticket);
        }
        let mut decisions = self.refuse_waiting(now);
        while self.can_grant(now) {
            let running_times = &self.running_times;
            let next =
                self.queue.pop_next(now, |request| expected_running_time(running_times, request));
            let Some(WaitingRequest { ticket, request, .. }) = next else { break };
            self.grant(now, ticket, request);
            decisions.push((ticket, Admission::Granted));
        }
        decisions
    }

    /// Returns why a new request of this expected running time is refused, or `None` if it is
    /// accepted.
    fn closed_reason(&self, now: Instant, running_time: Duration) -> Option<SlotRefusalReason> {
        if self.shutdown_deadlines.is_some_and(|d| d.refuses_admission(now, running_time)) {
            return Some(SlotRefusalReason::Stopping);
        }
        match &self.server {
            None => Some(SlotRefusalReason::NoServer),
            Some(server) if server.gone => Some(SlotRefusalReason::NoServer),
            Some(server) if !server.accepts_requests() => Some(SlotRefusalReason::Draining),
            Some(_) => None,
        }
    }

    /// Returns the number of waiting and granted requests that will count as retries once they
    /// start.
    fn pending_retries(&self) -> usize {
        let granted = self.holders.values().filter(|holder| holder.started_at.is_none());
        let granted = granted.filter(|holder| holder.request.attempt != AttemptKind::First);
        granted.count() + self.queue.retry_count()
    }

    fn slots(&self) -> usize {
        self.server.as_ref().map_or(0, |server| server.report.slots)
    }

    /// Refuses waiting requests that cannot end in time, exceed the queue limit or would not be
    /// accepted any more, and all waiting requests while the server is probably faulty.
    fn refuse_waiting(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        let likely_faulty = self.failure_probability(now) > NO_QUEUE_PROBABILITY;
        let limit_wait = self
            .limiter()
            .map_or(Duration::ZERO, |limiter| limiter.time_until(now, self.queue.len() + 1));
        let retry_in = self.running_times.mean().max(limit_wait);
        let mut refused = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|waiting| {
            let running_time = expected_running_time(&self.running_times, &waiting.request);
            let too_late = now + running_time / 2 > waiting.expires_at;
            let reason = self
                .closed_reason(now, running_time)
                .or(too_late.then_some(SlotRefusalReason::TooLate))
                .or(likely_faulty.then_some(SlotRefusalReason::LikelyFaulty));
            if let Some(reason) = reason {
                let refusal = Refusal { reason, retry_in };
                refused.push((waiting.ticket, Admission::Refused(refusal)));
            }
            reason.is_none()
        });
        self.queue = queue;
        let limit = self.max_waiting_per_kind(now);
        while let Some(excess) = self.queue.pop_excess(now, limit) {
            let refusal = Refusal { reason: SlotRefusalReason::Full, retry_in };
            refused.push((excess.ticket, Admission::Refused(refusal)));
        }
        refused
    }
}
