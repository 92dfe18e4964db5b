//! Event loop of one run on a virtual clock.

use super::baselines::Baselines;
use super::fleet::{Fleet, StoreOp};
use super::options::{Method, Options};
use super::queue::{Event, Queue};
use super::result::Outcome as RunOutcome;
use super::trace::{Script, Trace};
use super::workload::Workload;
use fescuemux_core::base::{Cx, HashMap, RequestId};
use fescuemux_core::detect::Outcome;
use fescuemux_core::eject::RequestKind;
use std::time::{Duration, Instant};

/// Slots of each backend server.
pub(super) const SLOTS: u32 = 4;
/// Time between two ticks of all guards.
const TICK: Duration = Duration::from_millis(50);
/// Time of one message between a guard and the store.
const STORE_DELAY: Duration = Duration::from_millis(3);
/// Cuts after which the flapping goal applies.
const FLAPS: u32 = 3;

/// A request as its ingress sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) ingress: usize,
    pub(super) server: usize,
    pub(super) kind: RequestKind,
    pub(super) start: Instant,
}

/// What a method reports to the engine.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Normal traffic to a server ended.
    CutOff(usize),
    /// A server was ejected.
    Ejected(usize),
    /// A guard asks the store.
    Store(StoreOp),
}

/// The method under test.
pub(super) enum Policy {
    Fleet(Box<Fleet>),
    Baselines(Baselines),
}

/// One run.
pub(super) struct Engine {
    script: Script,
    policy: Policy,
    deadline: Duration,
    floor: u32,
    cx: Cx,
    origin: Instant,
    end: Instant,
    workload: Workload,
    queue: Queue,
    next_id: RequestId,
    requests: HashMap<RequestId, Request>,
    busy: Vec<u32>,
    deferred: Vec<Request>,
    cuts: u32,
    outcome: RunOutcome,
}

impl Engine {
    pub(super) fn new(
        options: &Options,
        trace: Trace,
        pool: usize,
        method: Method,
        seed: u64,
    ) -> Engine {
        let origin = Instant::now();
        let mixed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((trace as u64) << 8) ^ pool as u64;
        let mut workload = Workload::new(mixed, trace, pool, options.median_latency);
        let script = Script::new(trace, pool, workload.unit());
        let floor = (options.floor_share * f64::from(SLOTS) * pool as f64).floor() as u32;
        let policy = match method.preference() {
            Some(favor) => {
                let alone = method == Method::EachAlone;
                Policy::Fleet(Box::new(Fleet::new(script, favor, floor, alone, origin)))
            }
            None => Policy::Baselines(Baselines::new(method, pool, origin)),
        };
        let faults = (0..pool).filter(|server| trace.sickens(*server, pool)).count();
        Engine {
            script,
            policy,
            deadline: options.deadline,
            floor,
            cx: Cx::new(origin, mixed ^ 0x5EED),
            origin,
            end: origin + Duration::from_secs_f64(trace.length()),
            workload,
            queue: Queue::default(),
            next_id: 0,
            requests: HashMap::default(),
            busy: vec![0; pool],
            deferred: Vec::new(),
            cuts: 0,
            outcome: RunOutcome {
                detection_times: vec![None; faults],
                ejection_times: vec![None; faults],
                ..RunOutcome::default()
            },
        }
    }

    pub(super) fn run(mut self) -> RunOutcome {
        self.schedule(self.origin, Event::Arrival);
        self.schedule(self.origin + TICK, Event::Tick);
        if let Some((_, until)) = self.script.pause() {
            self.schedule(self.at(until), Event::Resume);
        }
        while let Some((at, event)) = self.queue.pop() {
            if at >= self.end {
                break;
            }
            self.cx.now = at;
            self.handle(event);
            self.drain_effects();
        }
        self.outcome.healthy_time = Duration::from_secs_f64(self.healthy_seconds());
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Tick => self.on_tick(),
            Event::Resume => self.on_resume(),
            Event::Finish { id, outcome } => self.on_finish(id, outcome),
            Event::StoreRead(op) => self.on_store_read(op),
            Event::StoreWrite(write) => {
                if let Policy::Fleet(fleet) = &mut self.policy {
                    fleet.on_store_write(&mut self.cx, *write);
                }
            }
        }
    }

    fn on_arrival(&mut self) {
        let gap = self.workload.gap();
        self.schedule(self.cx.now + gap, Event::Arrival);
        let ingress = self.workload.ingress();
        let idempotent = self.workload.unit() < 0.5;
        if self.paused() && (ingress == 0 || matches!(self.policy, Policy::Baselines(_))) {
            return;
        }
        self.outcome.requests += 1;
        self.count_bad_arrivals();
        let choice = match &mut self.policy {
            Policy::Fleet(fleet) => fleet.choose(&mut self.cx, idempotent, &self.busy),
            Policy::Baselines(baselines) => baselines.choose(&mut self.cx),
        };
        let Some((server, kind)) = choice else {
            self.outcome.refused += 1;
            return;
        };
        self.count_bad_sent(server);
        self.next_id += 1;
        let start = self.cx.now;
        let request = Request { id: self.next_id, ingress, server, kind, start };
        if self.paused() && server == 0 {
            self.deferred.push(request);
            return;
        }
        self.start(request);
    }

    fn start(&mut self, request: Request) {
        let server = request.server;
        self.busy[server] += 1;
        let at = self.seconds(self.cx.now);
        let condition = self.script.condition(server, at);
        let (mut outcome, mut latency) = self.workload.answer(server, at, condition);
        if let Policy::Baselines(_) = self.policy
            && self.script.answer_lost(server, request.ingress, at)
        {
            outcome = Outcome::DeadlineMissed;
        }
        if condition.black_hole || latency > self.deadline || outcome == Outcome::DeadlineMissed {
            outcome = Outcome::DeadlineMissed;
            latency = self.deadline;
        }
        if let Policy::Fleet(fleet) = &mut self.policy {
            fleet.on_start(&mut self.cx, &request);
        }
        let request = Request { start: self.cx.now, ..request };
        self.requests.insert(request.id, request);
        self.schedule(self.cx.now + latency, Event::Finish { id: request.id, outcome });
    }

    fn on_finish(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(&id).copied() else { return };
        let observed = match self.policy {
            Policy::Fleet(_) => request.server == 0,
            Policy::Baselines(_) => true,
        };
        if let Some(until) = self.paused_until()
            && observed
        {
            self.defer_finish(request, outcome, until);
            return;
        }
        self.requests.remove(&id);
        self.busy[request.server] -= 1;
        let latency = self.cx.now.saturating_duration_since(request.start);
        match &mut self.policy {
            Policy::Fleet(fleet) => {
                let at = self.cx.now.saturating_duration_since(self.origin).as_secs_f64();
                let lost = self.script.answer_lost(request.server, request.ingress, at);
                let reached = if lost { None } else { Some((outcome, latency)) };
                fleet.on_finish(&mut self.cx, &request, outcome, latency, reached);
            }
            Policy::Baselines(baselines) => baselines.on_finish(&self.cx, request.server, outcome),
        }
    }

    /// A paused observer learns of the end only when it runs again; its own timer for the
    /// deadline then fires first.
    fn defer_finish(&mut self, request: Request, outcome: Outcome, until: Instant) {
        let late = until.saturating_duration_since(request.start) >= self.deadline;
        let outcome = if late { Outcome::DeadlineMissed } else { outcome };
        self.schedule(until, Event::Finish { id: request.id, outcome });
    }

    fn on_resume(&mut self) {
        let Some((from, until)) = self.script.pause() else { return };
        let length = Duration::from_secs_f64(until - from);
        if let Policy::Fleet(fleet) = &mut self.policy {
            fleet.on_pause(&mut self.cx, 0, length);
        }
        for request in std::mem::take(&mut self.deferred) {
            let waited = self.cx.now.saturating_duration_since(request.start);
            if waited < self.deadline && self.busy[0] < SLOTS {
                self.start(request);
            }
        }
    }

    fn on_tick(&mut self) {
        self.schedule(self.cx.now + TICK, Event::Tick);
        let paused = self.paused();
        match &mut self.policy {
            Policy::Fleet(fleet) => {
                let at = self.cx.now.saturating_duration_since(self.origin).as_secs_f64();
                fleet.on_tick(&mut self.cx, at, paused);
            }
            Policy::Baselines(baselines) if !paused => baselines.on_tick(&mut self.cx),
            Policy::Baselines(_) => {}
        }
    }

    fn on_store_read(&mut self, op: StoreOp) {
        let Policy::Fleet(fleet) = &mut self.policy else { return };
        if let Some(write) = fleet.on_store_read(&mut self.cx, op) {
            let at = self.cx.now + STORE_DELAY * 2;
            self.schedule(at, Event::StoreWrite(Box::new(write)));
        }
    }

    fn drain_effects(&mut self) {
        let effects = match &mut self.policy {
            Policy::Fleet(fleet) => fleet.take_effects(),
            Policy::Baselines(baselines) => baselines.take_effects(),
        };
        for effect in effects {
            match effect {
                Effect::CutOff(server) => self.on_cut_off(server),
                Effect::Ejected(server) => self.on_ejected(server),
                Effect::Store(op) => {
                    self.schedule(self.cx.now + STORE_DELAY, Event::StoreRead(op));
                }
            }
        }
    }

    fn on_cut_off(&mut self, server: usize) {
        match self.since_fault(server) {
            Some(since) => {
                self.cuts += 1;
                self.outcome.detection_times[server].get_or_insert(since);
            }
            None => self.outcome.false_steers += 1,
        }
    }

    fn on_ejected(&mut self, server: usize) {
        match self.since_fault(server) {
            Some(since) => {
                self.outcome.ejection_times[server].get_or_insert(since);
            }
            None => self.outcome.false_ejections += 1,
        }
        let healthy = match &self.policy {
            Policy::Fleet(fleet) => fleet.healthy_slots(),
            Policy::Baselines(baselines) => baselines.healthy_servers() * SLOTS,
        };
        let margin = i64::from(healthy) - i64::from(self.floor);
        self.outcome.lowest_margin =
            Some(self.outcome.lowest_margin.map_or(margin, |lowest| lowest.min(margin)));
        self.outcome.floor_violations += u64::from(margin < 0);
    }

    /// Returns the seconds since the fault of a server that is sick in this trace.
    fn since_fault(&self, server: usize) -> Option<f64> {
        let since = self.seconds(self.cx.now) - self.script.onset;
        let sick = self.script.trace.sickens(server, self.script.pool) && since >= 0.0;
        sick.then_some(since)
    }

    fn count_bad_arrivals(&mut self) {
        let at = self.seconds(self.cx.now);
        let bad = (0..self.script.pool).filter(|server| self.script.bad(*server, at)).count();
        self.outcome.bad_arrivals += bad as u64;
        if self.past_flaps() {
            self.outcome.flap_arrivals += bad as u64;
        }
    }

    fn count_bad_sent(&mut self, server: usize) {
        if !self.script.bad(server, self.seconds(self.cx.now)) {
            return;
        }
        self.outcome.bad_sent += 1;
        if self.past_flaps() {
            self.outcome.flap_sent += 1;
        }
    }

    fn past_flaps(&self) -> bool {
        self.script.trace.flap_hertz().is_some() && self.cuts >= FLAPS
    }

    fn healthy_seconds(&self) -> f64 {
        let script = self.script;
        let length = script.trace.length();
        let seconds =
            |server| if script.trace.sickens(server, script.pool) { script.onset } else { length };
        (0..script.pool).map(seconds).sum()
    }

    fn paused(&self) -> bool {
        self.paused_until().is_some()
    }

    /// Compares instants, because seconds that went through a conversion may round to a time
    /// before the end of the pause, and the event at its end would be deferred for ever.
    fn paused_until(&self) -> Option<Instant> {
        let (from, until) = self.script.pause()?;
        let (from, until) = (self.at(from), self.at(until));
        (from..until).contains(&self.cx.now).then_some(until)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.queue.push(at, event);
    }

    fn at(&self, seconds: f64) -> Instant {
        self.origin + Duration::from_secs_f64(seconds)
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.origin).as_secs_f64()
    }
}
