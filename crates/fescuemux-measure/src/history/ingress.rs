//! The ingress of an instance: admits, routes and retries callers' requests.

use super::broken::InjectedBug;
use super::events::{Event, Hop, HopAnswer, Msg, Order, Reply};
use super::instance::{Call, Flight, Stop, number, service_id};
use super::record::Event as Seen;
use super::world::World;
use fescuemux_core::base::{RequestId, Verdict};
use fescuemux_core::dedup::KeyOutcome;
use fescuemux_core::eject::{HealthState, RequestKind as HopKind};
use fescuemux_core::retry::{Attempt, RetryDecision};
use fescuemux_core::route::{AttemptAnswer, Choice, RequestKind, RouteQuery, ServerHealth};
use rand::Rng as _;
use std::time::{Duration, Instant};

/// As in the ingress of the daemon.
const HOP_MARGIN: Duration = Duration::from_millis(10);
const MAX_REDIRECTS: u8 = 2;

/// End of one attempt.
struct Ended {
    verdict: Verdict,
    /// Answer of the server, if it gave one.
    body: Option<(u64, bool)>,
    /// Whether the guard declined it for the health of its server.
    declined: bool,
}

impl World {
    /// Takes a request of a caller.
    pub(super) fn on_caller(&mut self, i: usize, order: Order) {
        let instance = self.instance(i);
        if !instance.up {
            return;
        }
        if instance.stop >= Stop::Closing || instance.config.is_none() {
            let send = order.send;
            self.record(Seen::Answered { send, verdict: Verdict::NotRun, body: None });
            return;
        }
        let id: RequestId = instance.cx.rng.random();
        let deadline = instance.cx.now + order.deadline;
        let claims = order.key.is_some() && order.service == 1;
        let flight = Flight {
            order: order.clone(),
            id,
            deadline,
            claimed: claims,
            servers: vec![],
            instances: vec![],
            earlier: None,
            attempts: 0,
            redirects: 0,
        };
        let number = self.number();
        self.instances[i].flights.insert(number, flight);
        if claims {
            self.claim(i, number, order, id, deadline);
            return;
        }
        self.begin_attempts(i, number);
    }

    pub(super) fn begin_attempts(&mut self, i: usize, flight: u64) {
        let instance = self.instance(i);
        let Some(service) = instance.flights.get(&flight).map(|f| f.order.service) else { return };
        instance.parts[service].budget.on_request(&mut instance.cx);
        self.try_next(i, flight);
    }

    /// Sends a request to the next backend server, or answers when there is none.
    pub(super) fn try_next(&mut self, i: usize, number: u64) {
        let wall = self.wall(i);
        let instance = self.instance(i);
        let now = instance.cx.now;
        let Some(flight) = instance.flights.get_mut(&number) else { return };
        let service = service_id(flight.order.service);
        let idempotent = flight.order.service == 0;
        let mut query = RouteQuery {
            service: &service,
            idempotent,
            excluded_servers: &flight.servers,
            excluded_instances: &flight.instances,
        };
        let mut choice = instance.router.choose(&mut instance.cx, &query);
        if choice.is_none() {
            query.excluded_servers = &[];
            query.excluded_instances = &[];
            choice = instance.router.choose(&mut instance.cx, &query);
        }
        let Some(choice) = choice else {
            let verdict = flight.earlier.unwrap_or(Verdict::NotRun);
            self.answer_caller(i, number, verdict, None);
            return;
        };
        let attempt = flight.attempts;
        flight.attempts += 1;
        flight.servers.push(choice.server.clone());
        let to = self::number(&choice.instance);
        let Some(incarnation) = instance.directory.get(&to).copied() else {
            self.end_attempt(i, number, ended(Verdict::NotRun));
            return;
        };
        let left = flight.deadline.saturating_duration_since(now);
        let hop = Hop {
            order: flight.order.clone(),
            id: flight.id,
            attempt,
            server: self::number(&choice.server),
            incarnation,
            kind: kind_of(choice.kind),
            deadline: left.saturating_sub(HOP_MARGIN.min(left / 2)),
            signed: wall,
            baseline: instance.parts[flight.order.service].estimator.baseline(),
        };
        instance.router.on_sent(&mut instance.cx, &choice);
        let call = Call::Hop { flight: number, choice, started: now };
        self.call(i, to, left, call, |call| Msg::Hop { call, hop: Box::new(hop) });
    }

    pub(super) fn on_hop_answer(
        &mut self,
        i: usize,
        flight: u64,
        choice: &Choice,
        started: Instant,
        reply: Reply,
    ) {
        let lost =
            if self.is(InjectedBug::LostIsNotRun) { Verdict::NotRun } else { Verdict::MayHaveRun };
        let instance = self.instance(i);
        let answer = match reply {
            Reply::Hop(answer) => answer,
            Reply::Unreached => {
                let (at, server) = (&choice.instance, &choice.server);
                instance.router.on_path_failure(&mut instance.cx, at, server);
                if let Some(flight) = instance.flights.get_mut(&flight) {
                    flight.instances.push(choice.instance.clone());
                }
                self.end_attempt(i, flight, ended(Verdict::NotRun));
                return;
            }
            _ => {
                let (at, server) = (&choice.instance, &choice.server);
                instance.router.on_path_failure(&mut instance.cx, at, server);
                self.end_attempt(i, flight, ended(lost));
                return;
            }
        };
        self.take_answer(i, flight, choice, started, &answer);
    }

    fn take_answer(
        &mut self,
        i: usize,
        flight: u64,
        choice: &Choice,
        started: Instant,
        answer: &HopAnswer,
    ) {
        let instance = self.instance(i);
        let answered = AttemptAnswer {
            verdict: answer.verdict,
            latency: instance.cx.now.saturating_duration_since(started),
            load: answer.load,
            health: answer.health.map(health_of),
        };
        instance.router.on_answer(&mut instance.cx, &choice.server, answered);
        let Some((named, whole, ok)) = answer.body else {
            let not_run = answer.verdict == Verdict::NotRun;
            let declined =
                not_run && answer.health.is_some_and(|health| health != HealthState::Serving);
            self.end_attempt(i, flight, Ended { declined, ..ended(answer.verdict) });
            return;
        };
        if let Some(of) = instance.flights.get(&flight) {
            let parts = &mut instance.parts[of.order.service];
            let (cx, time) = (&mut instance.cx, answer.service_time);
            parts.estimator.on_answer(cx, &choice.server, time, ok);
            parts.latency.record(time);
        }
        if ok {
            self.answer_caller(i, flight, Verdict::Ran, Some((named, whole)));
            return;
        }
        let body = Some((named, whole));
        self.end_attempt(i, flight, Ended { verdict: Verdict::Ran, body, declined: false });
    }

    /// Decides what follows an attempt without success.
    fn end_attempt(&mut self, i: usize, number: u64, end: Ended) {
        let repeats = self.is(InjectedBug::RepeatAlways);
        let instance = self.instance(i);
        let Some(flight) = instance.flights.get_mut(&number) else { return };
        if end.declined && flight.redirects < MAX_REDIRECTS {
            flight.redirects += 1;
            self.try_next(i, number);
            return;
        }
        let parts = &mut instance.parts[flight.order.service];
        let attempt = Attempt {
            verdict: end.verdict,
            previous_verdict: flight.earlier.unwrap_or(Verdict::NotRun),
            idempotent: flight.order.service == 0 || repeats,
            body_replayable: true,
            time_to_deadline: flight.deadline.saturating_duration_since(instance.cx.now),
            expected_latency: parts.latency.quantile(0.5).unwrap_or_default(),
            attempts: u32::from(flight.attempts - flight.redirects),
            retry_after: None,
        };
        match parts.budget.decide(&mut instance.cx, &attempt) {
            RetryDecision::Retry { after } => {
                flight.earlier = flight.earlier.max(Some(end.verdict));
                self.after_in(i, after, Event::Retry { flight: number });
            }
            RetryDecision::GiveUp { verdict, .. } => {
                self.answer_caller(i, number, verdict, end.body);
            }
        }
    }

    /// Answers a caller and settles its claim.
    pub(super) fn answer_caller(
        &mut self,
        i: usize,
        flight: u64,
        verdict: Verdict,
        body: Option<(u64, bool)>,
    ) {
        let Some(flight) = self.instances[i].flights.remove(&flight) else { return };
        if flight.claimed {
            let outcome = match (verdict, body) {
                (_, Some(_)) => Some(KeyOutcome::Ran { status: 200 }),
                (Verdict::NotRun, None) => None,
                (_, None) => Some(KeyOutcome::Unknown),
            };
            self.settle(i, flight.order.clone(), flight.id, outcome, 0);
        }
        self.tell_caller(&flight.order, verdict, body);
    }

    /// Answers a caller whose request was not started under its key.
    pub(super) fn refuse_claim(&mut self, i: usize, flight: u64, verdict: Verdict) {
        if let Some(flight) = self.instances[i].flights.remove(&flight) {
            self.tell_caller(&flight.order, verdict, None);
        }
    }

    fn tell_caller(&mut self, order: &Order, verdict: Verdict, body: Option<(u64, bool)>) {
        self.record(Seen::Answered { send: order.send, verdict, body });
    }
}

fn ended(verdict: Verdict) -> Ended {
    Ended { verdict, body: None, declined: false }
}

fn kind_of(kind: RequestKind) -> HopKind {
    match kind {
        RequestKind::Normal => HopKind::Normal,
        RequestKind::LastResort => HopKind::LastResort,
        RequestKind::Trial => HopKind::Trial,
    }
}

fn health_of(state: HealthState) -> ServerHealth {
    match state {
        HealthState::Serving => ServerHealth::Serving,
        HealthState::Steered => ServerHealth::Steered,
        HealthState::Ejected => ServerHealth::Ejected,
        HealthState::Probation => ServerHealth::Probation,
    }
}
