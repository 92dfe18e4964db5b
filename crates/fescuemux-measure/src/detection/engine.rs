//! Event loop of one simulation run on a virtual clock.

use super::baselines::Baseline;
use super::fleet::{Fleet, StoreOp};
use super::options::{Method, Options};
use super::queue::{Event, EventQueue};
use super::result::RunResult;
use super::trace::{SeededTrace, Trace};
use super::workload::Workload;
use fescuemux_core::base::{Cx, HashMap, RequestId};
use fescuemux_core::detect::Outcome;
use fescuemux_core::eject::RequestKind;
use std::time::{Duration, Instant};

/// Slots of each backend server.
pub(super) const SLOTS: u32 = 4;
/// Time between two ticks of the guards.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Latency of one message between a guard and the store.
const STORE_LATENCY: Duration = Duration::from_millis(3);
/// Number of times that traffic to a flapping server has to stop before the flapping goal, a limit
/// on the share of requests sent to the server while it is faulty, applies.
const FLAPS_BEFORE_GOAL: u32 = 3;

/// Request as its ingress knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) ingress: usize,
    pub(super) server: usize,
    pub(super) kind: RequestKind,
    pub(super) start: Instant,
}

/// Effect of a detection method that the engine counts or executes.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// A server that received normal requests was steered or ejected.
    TrafficStopped(usize),
    /// A server was ejected.
    Ejected(usize),
    /// A guard requests a store operation.
    Store(StoreOp),
}

/// State of the detection method under test.
pub(super) enum MethodState {
    Fleet(Box<Fleet>),
    Baseline(Baseline),
}

/// Simulation of one run.
pub(super) struct Engine {
    seeded_trace: SeededTrace,
    method_state: MethodState,
    deadline: Duration,
    floor_slots: u32,
    cx: Cx,
    /// Start of the run.
    origin: Instant,
    end: Instant,
    workload: Workload,
    events: EventQueue,
    last_request_id: RequestId,
    requests: HashMap<RequestId, Request>,
    /// Number of busy slots of each server.
    busy_slots: Vec<u32>,
    /// Requests that arrived at the paused observer.
    deferred_requests: Vec<Request>,
    /// Number of times that traffic to faulty servers stopped.
    traffic_stops: u32,
    result: RunResult,
}

impl Engine {
    pub(super) fn new(
        options: &Options,
        trace: Trace,
        pool_size: usize,
        method: Method,
        seed: u64,
    ) -> Engine {
        let origin = Instant::now();
        let mixed_seed =
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((trace as u64) << 8) ^ pool_size as u64;
        let mut workload = Workload::new(mixed_seed, trace, pool_size, options.median_latency);
        let seeded_trace = SeededTrace::new(trace, pool_size, workload.random_unit());
        let floor_slots =
            (options.floor_share * f64::from(SLOTS) * pool_size as f64).floor() as u32;
        let method_state = match method.preference() {
            Some(preference) => {
                let uses_private_ledgers = method == Method::EachAlone;
                MethodState::Fleet(Box::new(Fleet::new(
                    seeded_trace,
                    preference,
                    floor_slots,
                    uses_private_ledgers,
                    origin,
                )))
            }
            None => MethodState::Baseline(Baseline::new(method, pool_size, origin)),
        };
        let fault_count =
            (0..pool_size).filter(|server| trace.has_fault(*server, pool_size)).count();
        Engine {
            seeded_trace,
            method_state,
            deadline: options.deadline,
            floor_slots,
            cx: Cx::new(origin, mixed_seed ^ 0x5EED),
            origin,
            end: origin + Duration::from_secs_f64(trace.length_secs()),
            workload,
            events: EventQueue::default(),
            last_request_id: 0,
            requests: HashMap::default(),
            busy_slots: vec![0; pool_size],
            deferred_requests: Vec::new(),
            traffic_stops: 0,
            result: RunResult {
                detection_times: vec![None; fault_count],
                ejection_times: vec![None; fault_count],
                ..RunResult::default()
            },
        }
    }

    pub(super) fn run(mut self) -> RunResult {
        self.schedule(self.origin, Event::Arrival);
        self.schedule(self.origin + TICK_INTERVAL, Event::Tick);
        if let Some((_, until)) = self.seeded_trace.pause_window() {
            self.schedule(self.instant_at(until), Event::Resume);
        }
        while let Some((at, event)) = self.events.pop() {
            if at >= self.end {
                break;
            }
            self.cx.now = at;
            self.handle(event);
            self.apply_effects();
        }
        self.result.healthy_time = Duration::from_secs_f64(self.total_healthy_seconds());
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Tick => self.on_tick(),
            Event::Resume => self.on_resume(),
            Event::Finish { id, outcome } => self.on_finish(id, outcome),
            Event::StoreRead(op) => self.on_store_read(op),
            Event::StoreWrite(write) => {
                if let MethodState::Fleet(fleet) = &mut self.method_state {
                    fleet.on_store_write(&mut self.cx, *write);
                }
            }
        }
    }

    fn on_arrival(&mut self) {
        let arrival_gap = self.workload.arrival_gap();
        self.schedule(self.cx.now + arrival_gap, Event::Arrival);
        let ingress = self.workload.random_ingress();
        let idempotent = self.workload.random_unit() < 0.5;
        if self.observer_paused()
            && (ingress == 0 || matches!(self.method_state, MethodState::Baseline(_)))
        {
            return;
        }
        self.result.requests += 1;
        self.count_faulty_arrivals();
        let choice = match &mut self.method_state {
            MethodState::Fleet(fleet) => {
                fleet.choose_server(&mut self.cx, idempotent, &self.busy_slots)
            }
            MethodState::Baseline(baseline) => baseline.choose_server(&mut self.cx),
        };
        let Some((server, kind)) = choice else {
            self.result.refused += 1;
            return;
        };
        self.count_sent_to_faulty(server);
        self.last_request_id += 1;
        let start = self.cx.now;
        let request = Request { id: self.last_request_id, ingress, server, kind, start };
        if self.observer_paused() && server == 0 {
            self.deferred_requests.push(request);
            return;
        }
        self.start(request);
    }

    fn start(&mut self, request: Request) {
        let server = request.server;
        self.busy_slots[server] += 1;
        let now_secs = self.seconds_since_start(self.cx.now);
        let behavior = self.seeded_trace.behavior(server, now_secs);
        let (mut outcome, mut latency) = self.workload.draw_response(server, now_secs, behavior);
        if let MethodState::Baseline(_) = self.method_state
            && self.seeded_trace.response_lost(server, request.ingress, now_secs)
        {
            outcome = Outcome::DeadlineMissed;
        }
        if behavior.black_hole || latency > self.deadline || outcome == Outcome::DeadlineMissed {
            outcome = Outcome::DeadlineMissed;
            latency = self.deadline;
        }
        if let MethodState::Fleet(fleet) = &mut self.method_state {
            fleet.on_start(&mut self.cx, &request);
        }
        let request = Request { start: self.cx.now, ..request };
        self.requests.insert(request.id, request);
        self.schedule(self.cx.now + latency, Event::Finish { id: request.id, outcome });
    }

    fn on_finish(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id).copied() else { return };
        let observed = match self.method_state {
            MethodState::Fleet(_) => request.server == 0,
            MethodState::Baseline(_) => true,
        };
        if let Some(until) = self.paused_until()
            && observed
        {
            self.defer_finish(request, outcome, until);
            return;
        }
        self.requests.remove(&id);
        self.busy_slots[request.server] -= 1;
        let latency = self.cx.now.saturating_duration_since(request.start);
        match &mut self.method_state {
            MethodState::Fleet(fleet) => {
                let now_secs = self.cx.now.saturating_duration_since(self.origin).as_secs_f64();
                let lost =
                    self.seeded_trace.response_lost(request.server, request.ingress, now_secs);
                let received = if lost { None } else { Some((outcome, latency)) };
                fleet.on_finish(&mut self.cx, &request, outcome, latency, received);
            }
            MethodState::Baseline(baseline) => {
                baseline.on_finish(&self.cx, request.server, outcome)
            }
        }
    }

    /// Defers the end of a request until its paused observer resumes. If the deadline of the
    /// request has passed by then, the observer's timer fires first and the request misses its
    /// deadline.
    fn defer_finish(&mut self, request: Request, outcome: Outcome, until: Instant) {
        let missed_deadline = until.saturating_duration_since(request.start) >= self.deadline;
        let outcome = if missed_deadline { Outcome::DeadlineMissed } else { outcome };
        self.schedule(until, Event::Finish { id: request.id, outcome });
    }

    fn on_resume(&mut self) {
        let Some((from, until)) = self.seeded_trace.pause_window() else { return };
        let length = Duration::from_secs_f64(until - from);
        if let MethodState::Fleet(fleet) = &mut self.method_state {
            fleet.on_pause(&mut self.cx, 0, length);
        }
        for request in std::mem::take(&mut self.deferred_requests) {
            let waited = self.cx.now.saturating_duration_since(request.start);
            if waited < self.deadline && self.busy_slots[0] < SLOTS {
                self.start(request);
            }
        }
    }

    fn on_tick(&mut self) {
        self.schedule(self.cx.now + TICK_INTERVAL, Event::Tick);
        let observer_paused = self.observer_paused();
        match &mut self.method_state {
            MethodState::Fleet(fleet) => {
                let now_secs = self.cx.now.saturating_duration_since(self.origin).as_secs_f64();
                fleet.on_tick(&mut self.cx, now_secs, observer_paused);
            }
            MethodState::Baseline(baseline) if !observer_paused => baseline.on_tick(&mut self.cx),
            MethodState::Baseline(_) => {}
        }
    }

    fn on_store_read(&mut self, op: StoreOp) {
        let MethodState::Fleet(fleet) = &mut self.method_state else { return };
        if let Some(write) = fleet.on_store_read(&mut self.cx, op) {
            let at = self.cx.now + STORE_LATENCY * 2;
            self.schedule(at, Event::StoreWrite(Box::new(write)));
        }
    }

    fn apply_effects(&mut self) {
        let effects = match &mut self.method_state {
            MethodState::Fleet(fleet) => fleet.take_effects(),
            MethodState::Baseline(baseline) => baseline.take_effects(),
        };
        for effect in effects {
            match effect {
                Effect::TrafficStopped(server) => self.on_traffic_stopped(server),
                Effect::Ejected(server) => self.on_ejected(server),
                Effect::Store(op) => {
                    self.schedule(self.cx.now + STORE_LATENCY, Event::StoreRead(op));
                }
            }
        }
    }

    fn on_traffic_stopped(&mut self, server: usize) {
        match self.seconds_since_fault(server) {
            Some(since) => {
                self.traffic_stops += 1;
                self.result.detection_times[server].get_or_insert(since);
            }
            None => self.result.false_steers += 1,
        }
    }

    fn on_ejected(&mut self, server: usize) {
        match self.seconds_since_fault(server) {
            Some(since) => {
                self.result.ejection_times[server].get_or_insert(since);
            }
            None => self.result.false_ejections += 1,
        }
        let healthy_slots = match &self.method_state {
            MethodState::Fleet(fleet) => fleet.healthy_slots(),
            MethodState::Baseline(baseline) => baseline.available_servers() * SLOTS,
        };
        let margin = i64::from(healthy_slots) - i64::from(self.floor_slots);
        self.result.lowest_margin =
            Some(self.result.lowest_margin.map_or(margin, |lowest| lowest.min(margin)));
        self.result.floor_violations += u64::from(margin < 0);
    }

    /// Returns the seconds since the onset of a server's fault, or `None` before the onset and for
    /// servers without a fault in this trace.
    fn seconds_since_fault(&self, server: usize) -> Option<f64> {
        let since = self.seconds_since_start(self.cx.now) - self.seeded_trace.onset_secs;
        let is_faulty =
            self.seeded_trace.trace.has_fault(server, self.seeded_trace.pool_size) && since >= 0.0;
        is_faulty.then_some(since)
    }

    /// Adds the current number of faulty servers to the counters, once per arrival of a request.
    fn count_faulty_arrivals(&mut self) {
        let now_secs = self.seconds_since_start(self.cx.now);
        let faulty_count = (0..self.seeded_trace.pool_size)
            .filter(|server| self.seeded_trace.is_faulty_at(*server, now_secs))
            .count();
        self.result.bad_arrivals += faulty_count as u64;
        if self.flap_goal_applies() {
            self.result.flap_arrivals += faulty_count as u64;
        }
    }

    fn count_sent_to_faulty(&mut self, server: usize) {
        if !self.seeded_trace.is_faulty_at(server, self.seconds_since_start(self.cx.now)) {
            return;
        }
        self.result.bad_sent += 1;
        if self.flap_goal_applies() {
            self.result.flap_sent += 1;
        }
    }

    fn flap_goal_applies(&self) -> bool {
        self.seeded_trace.trace.flap_frequency_hz().is_some()
            && self.traffic_stops >= FLAPS_BEFORE_GOAL
    }

    /// Returns the time before the fault of each server, summed over all servers. For a server
    /// without a fault, this is the length of the trace.
    fn total_healthy_seconds(&self) -> f64 {
        let seeded_trace = self.seeded_trace;
        let length_secs = seeded_trace.trace.length_secs();
        let healthy_secs_of = |server| {
            if seeded_trace.trace.has_fault(server, seeded_trace.pool_size) {
                seeded_trace.onset_secs
            } else {
                length_secs
            }
        };
        (0..seeded_trace.pool_size).map(healthy_secs_of).sum()
    }

    /// Returns true if the observer is paused: the guard and ingress of server 0, or the place
    /// where a baseline method observes all requests.
    fn observer_paused(&self) -> bool {
        self.paused_until().is_some()
    }

    /// Returns the end of the current pause of the observer, if the observer is paused. Compares
    /// instants, because converted seconds may round to just before the end of the pause, and an
    /// event at that end would be deferred forever.
    fn paused_until(&self) -> Option<Instant> {
        let (from, until) = self.seeded_trace.pause_window()?;
        let (from, until) = (self.instant_at(from), self.instant_at(until));
        (from..until).contains(&self.cx.now).then_some(until)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(at, event);
    }

    fn instant_at(&self, secs: f64) -> Instant {
        self.origin + Duration::from_secs_f64(secs)
    }

    fn seconds_since_start(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.origin).as_secs_f64()
    }
}
