//! The ingress of an instance: admits, routes and retries callers' requests.

use super::broken::InjectedBug;
use super::events::{CallerRequest, Event, HopAnswer, HopRequest, PeerMessage, Reply};
use super::instance::{InFlightRequest, PendingCall, StopPhase, index_of, service_id};
use super::record::Event as HistoryEvent;
use super::world::World;
use fescuemux_core::base::{RequestId, Verdict};
use fescuemux_core::dedup::KeyOutcome;
use fescuemux_core::eject::{HealthState, RequestKind as HopKind};
use fescuemux_core::retry::{Attempt, RetryDecision};
use fescuemux_core::route::{AttemptAnswer, Choice, RequestKind, RouteQuery, ServerHealth};
use rand::Rng as _;
use std::time::{Duration, Instant};

// The values of the daemon's ingress.
/// Time by which the deadline that a guard gets is earlier than that of the ingress.
const HOP_MARGIN: Duration = Duration::from_millis(10);
const MAX_REASSIGNMENTS: u8 = 2;

/// Result of an attempt that did not succeed.
struct AttemptEnd {
    verdict: Verdict,
    /// `send` id that the backend server's answer names, and whether the answer is complete.
    body: Option<(u64, bool)>,
    /// Whether the guard declined the attempt because of its server's health.
    declined: bool,
}

impl World {
    /// Handles a request of a caller.
    pub(super) fn on_caller_request(&mut self, i: usize, request: CallerRequest) {
        let instance = self.instance(i);
        if !instance.is_up {
            return;
        }
        if instance.stop_phase >= StopPhase::Closing || instance.config.is_none() {
            let send = request.send;
            self.record(HistoryEvent::Answered { send, verdict: Verdict::NotRun, body: None });
            return;
        }
        let id: RequestId = instance.cx.rng.random();
        let deadline = instance.cx.now + request.time_to_deadline;
        let needs_claim = request.key.is_some() && request.service == 1;
        let flight = InFlightRequest {
            request: request.clone(),
            id,
            deadline,
            needs_claim,
            tried_servers: vec![],
            unreachable_instances: vec![],
            previous_verdict: None,
            attempts: 0,
            reassignments: 0,
        };
        let flight_id = self.next_id();
        self.instances[i].in_flight.insert(flight_id, flight);
        if needs_claim {
            self.claim(i, flight_id, request, id, deadline);
            return;
        }
        self.start_attempts(i, flight_id);
    }

    pub(super) fn start_attempts(&mut self, i: usize, flight_id: u64) {
        let instance = self.instance(i);
        let Some(service) = instance.in_flight.get(&flight_id).map(|f| f.request.service) else {
            return;
        };
        instance.services[service].budget.on_request(&mut instance.cx);
        self.send_attempt(i, flight_id);
    }

    /// Sends a request to the next backend server, or answers the caller if the router finds none.
    pub(super) fn send_attempt(&mut self, i: usize, flight_id: u64) {
        let wall_clock = self.wall_clock(i);
        let instance = self.instance(i);
        let now = instance.cx.now;
        let Some(flight) = instance.in_flight.get_mut(&flight_id) else { return };
        let service = service_id(flight.request.service);
        let idempotent = flight.request.service == 0;
        let mut query = RouteQuery {
            service: &service,
            idempotent,
            excluded_servers: &flight.tried_servers,
            excluded_instances: &flight.unreachable_instances,
        };
        let mut choice = instance.router.choose(&mut instance.cx, &query);
        if choice.is_none() {
            query.excluded_servers = &[];
            query.excluded_instances = &[];
            choice = instance.router.choose(&mut instance.cx, &query);
        }
        let Some(choice) = choice else {
            let verdict = flight.previous_verdict.unwrap_or(Verdict::NotRun);
            self.answer_caller(i, flight_id, verdict, None);
            return;
        };
        let attempt = flight.attempts;
        flight.attempts += 1;
        flight.tried_servers.push(choice.server.clone());
        let to = index_of(&choice.instance);
        let Some(incarnation) = instance.directory.get(&to).copied() else {
            self.end_attempt(i, flight_id, without_answer(Verdict::NotRun));
            return;
        };
        let remaining = flight.deadline.saturating_duration_since(now);
        let hop = HopRequest {
            request: flight.request.clone(),
            id: flight.id,
            attempt,
            server: index_of(&choice.server),
            incarnation,
            kind: hop_kind(choice.kind),
            time_to_deadline: remaining.saturating_sub(HOP_MARGIN.min(remaining / 2)),
            signed_at: wall_clock,
            baseline: instance.services[flight.request.service].estimator.baseline(),
        };
        instance.router.on_sent(&mut instance.cx, &choice);
        let pending = PendingCall::HopRequest { flight_id, choice, started: now };
        self.call(i, to, remaining, pending, |call_id| PeerMessage::HopRequest {
            call_id,
            hop: Box::new(hop),
        });
    }

    pub(super) fn on_hop_answer(
        &mut self,
        i: usize,
        flight_id: u64,
        choice: &Choice,
        started: Instant,
        reply: Reply,
    ) {
        let lost_verdict = if self.has_bug(InjectedBug::LostIsNotRun) {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        let instance = self.instance(i);
        let answer = match reply {
            Reply::HopAnswer(answer) => answer,
            Reply::ConnectFailed => {
                let (instance_id, server) = (&choice.instance, &choice.server);
                instance.router.on_path_failure(&mut instance.cx, instance_id, server);
                if let Some(flight) = instance.in_flight.get_mut(&flight_id) {
                    flight.unreachable_instances.push(choice.instance.clone());
                }
                self.end_attempt(i, flight_id, without_answer(Verdict::NotRun));
                return;
            }
            _ => {
                let (instance_id, server) = (&choice.instance, &choice.server);
                instance.router.on_path_failure(&mut instance.cx, instance_id, server);
                self.end_attempt(i, flight_id, without_answer(lost_verdict));
                return;
            }
        };
        self.on_attempt_answer(i, flight_id, choice, started, &answer);
    }

    fn on_attempt_answer(
        &mut self,
        i: usize,
        flight_id: u64,
        choice: &Choice,
        started: Instant,
        answer: &HopAnswer,
    ) {
        let instance = self.instance(i);
        let answered = AttemptAnswer {
            verdict: answer.verdict,
            latency: instance.cx.now.saturating_duration_since(started),
            load: answer.load,
            health: answer.health.map(server_health),
        };
        instance.router.on_answer(&mut instance.cx, &choice.server, answered);
        let Some((answered_id, complete, ok)) = answer.body else {
            let not_run = answer.verdict == Verdict::NotRun;
            let declined =
                not_run && answer.health.is_some_and(|health| health != HealthState::Serving);
            self.end_attempt(
                i,
                flight_id,
                AttemptEnd { declined, ..without_answer(answer.verdict) },
            );
            return;
        };
        if let Some(flight) = instance.in_flight.get(&flight_id) {
            let service = &mut instance.services[flight.request.service];
            let (cx, time) = (&mut instance.cx, answer.service_time);
            service.estimator.on_answer(cx, &choice.server, time, ok);
            service.latencies.record(time);
        }
        if ok {
            self.answer_caller(i, flight_id, Verdict::Ran, Some((answered_id, complete)));
            return;
        }
        let body = Some((answered_id, complete));
        self.end_attempt(i, flight_id, AttemptEnd { verdict: Verdict::Ran, body, declined: false });
    }

    /// Redirects, retries or answers a request whose attempt did not succeed.
    fn end_attempt(&mut self, i: usize, flight_id: u64, end: AttemptEnd) {
        let retries_always = self.has_bug(InjectedBug::RepeatAlways);
        let instance = self.instance(i);
        let Some(flight) = instance.in_flight.get_mut(&flight_id) else { return };
        if end.declined && flight.reassignments < MAX_REASSIGNMENTS {
            flight.reassignments += 1;
            self.send_attempt(i, flight_id);
            return;
        }
        let service = &mut instance.services[flight.request.service];
        let attempt = Attempt {
            verdict: end.verdict,
            previous_verdict: flight.previous_verdict.unwrap_or(Verdict::NotRun),
            idempotent: flight.request.service == 0 || retries_always,
            body_replayable: true,
            time_to_deadline: flight.deadline.saturating_duration_since(instance.cx.now),
            expected_latency: service.latencies.quantile(0.5).unwrap_or_default(),
            attempts: u32::from(flight.attempts - flight.reassignments),
            retry_after: None,
        };
        match service.budget.decide(&mut instance.cx, &attempt) {
            RetryDecision::Retry { after } => {
                flight.previous_verdict = flight.previous_verdict.max(Some(end.verdict));
                self.schedule_for_process(i, after, Event::Retry { flight_id });
            }
            RetryDecision::GiveUp { verdict, .. } => {
                self.answer_caller(i, flight_id, verdict, end.body);
            }
        }
    }

    /// Answers a caller and settles the claim of the request if it has one.
    pub(super) fn answer_caller(
        &mut self,
        i: usize,
        flight_id: u64,
        verdict: Verdict,
        body: Option<(u64, bool)>,
    ) {
        let Some(flight) = self.instances[i].in_flight.remove(&flight_id) else { return };
        if flight.needs_claim {
            let outcome = match (verdict, body) {
                (_, Some(_)) => Some(KeyOutcome::Ran { status: 200 }),
                (Verdict::NotRun, None) => None,
                (_, None) => Some(KeyOutcome::Unknown),
            };
            self.settle(i, flight.request.clone(), flight.id, outcome, 0);
        }
        self.record_answer(&flight.request, verdict, body);
    }

    /// Answers a caller whose request did not start because its key was not granted.
    pub(super) fn answer_without_claim(&mut self, i: usize, flight_id: u64, verdict: Verdict) {
        if let Some(flight) = self.instances[i].in_flight.remove(&flight_id) {
            self.record_answer(&flight.request, verdict, None);
        }
    }

    fn record_answer(
        &mut self,
        request: &CallerRequest,
        verdict: Verdict,
        body: Option<(u64, bool)>,
    ) {
        self.record(HistoryEvent::Answered { send: request.send, verdict, body });
    }
}

fn without_answer(verdict: Verdict) -> AttemptEnd {
    AttemptEnd { verdict, body: None, declined: false }
}

fn hop_kind(kind: RequestKind) -> HopKind {
    match kind {
        RequestKind::Normal => HopKind::Normal,
        RequestKind::LastResort => HopKind::LastResort,
        RequestKind::Trial => HopKind::Trial,
    }
}

fn server_health(state: HealthState) -> ServerHealth {
    match state {
        HealthState::Serving => ServerHealth::Serving,
        HealthState::Steered => ServerHealth::Steered,
        HealthState::Ejected => ServerHealth::Ejected,
        HealthState::Probation => ServerHealth::Probation,
    }
}
