//! The fleet's own parts: a guard for each backend server, an ingress beside each, one ledger.

use super::engine::{Effect, Request, SLOTS};
use super::trace::Script;
use fescuemux_core::base::{Cx, DetectionPreference, Phase, ServerId};
use fescuemux_core::detect::{
    BaselineEstimator, Detector, DetectorConfig, Observation, Outcome, ProbeResult,
};
use fescuemux_core::eject::{
    Action, Admission, HealthConfig, HealthState, HealthTracker, Ledger, PermitAnswer, RequestKind,
    ServerCapacity, ServiceCapacity,
};
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Share of store replies that are lost although the write took effect.
const LOST_REPLIES: f64 = 0.02;
/// Share of health probes that time out for no reason.
const LOST_PROBES: f64 = 0.02;
/// Ticks between two probes, and between two baselines of a guard's own ingress.
const PROBE_TICKS: u64 = 20;
const BASELINE_TICKS: u64 = 10;
/// Incarnation of all guards; none restarts in these traces.
const INCARNATION: u64 = 1;

/// A change that a guard wants in the ledger.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreOp {
    server: usize,
    grant: bool,
}

/// A compare-and-swap on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreWrite {
    op: StoreOp,
    expected: u64,
    next: Ledger,
}

struct Guard {
    detector: Detector,
    health: HealthTracker,
    /// Ledger of this guard alone, used by the deliberately broken version.
    own: Ledger,
}

/// All daemons of one service.
pub(super) struct Fleet {
    script: Script,
    alone: bool,
    ids: Vec<ServerId>,
    guards: Vec<Guard>,
    estimators: Vec<BaselineEstimator>,
    capacity: ServiceCapacity,
    ledger: Ledger,
    effects: Vec<Effect>,
    ticks: u64,
    cold: bool,
}

impl Fleet {
    pub(super) fn new(
        script: Script,
        favor: DetectionPreference,
        floor: u32,
        alone: bool,
        now: Instant,
    ) -> Fleet {
        let ids: Vec<ServerId> =
            (0..script.pool).map(|server| ServerId::from(format!("server-{server}"))).collect();
        let mut capacity = ServiceCapacity::new(floor);
        for id in &ids {
            capacity.set(id.clone(), server_capacity(Phase::Ready));
        }
        let guard = || Guard {
            detector: Detector::new(DetectorConfig::new(favor), now),
            health: HealthTracker::new(HealthConfig::new(favor), now),
            own: Ledger::default(),
        };
        Fleet {
            script,
            alone,
            guards: ids.iter().map(|_| guard()).collect(),
            estimators: ids.iter().map(|_| BaselineEstimator::new()).collect(),
            ids,
            capacity,
            ledger: Ledger::default(),
            effects: Vec::new(),
            ticks: 0,
            cold: false,
        }
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Chooses as an ingress that knows the published state of every server.
    pub(super) fn choose(
        &mut self,
        cx: &mut Cx,
        idempotent: bool,
        busy: &[u32],
    ) -> Option<(usize, RequestKind)> {
        if let Some(server) = self.choose_trial(cx, idempotent, busy) {
            return Some((server, RequestKind::Trial));
        }
        let server = self.choose_of(cx, idempotent, busy, RequestKind::Normal);
        if let Some(server) = server {
            return Some((server, RequestKind::Normal));
        }
        let server = self.choose_of(cx, idempotent, busy, RequestKind::LastResort)?;
        Some((server, RequestKind::LastResort))
    }

    pub(super) fn on_start(&mut self, cx: &mut Cx, request: &Request) {
        let detector = &mut self.guards[request.server].detector;
        if let Some(baseline) = self.estimators[request.ingress].baseline() {
            detector.on_baseline(cx, baseline);
        }
        detector.on_start(cx, request.id);
    }

    /// `reached` is the answer as the ingress received it.
    pub(super) fn on_finish(
        &mut self,
        cx: &mut Cx,
        request: &Request,
        outcome: Outcome,
        latency: Duration,
        reached: Option<(Outcome, Duration)>,
    ) {
        if let Some((outcome, latency)) = reached {
            let ok = outcome == Outcome::Ok;
            let id = &self.ids[request.server];
            self.estimators[request.ingress].on_answer(cx, id, latency, ok);
        }
        let observation = Observation { id: request.id, outcome, latency };
        let guard = &mut self.guards[request.server];
        guard.detector.on_finish(cx, observation);
        let mut actions = Vec::new();
        if request.kind == RequestKind::Trial {
            let end = guard.detector.classify_trial(&observation);
            actions = guard.health.on_trial_end(cx, end);
        }
        self.apply(cx, request.server, actions);
        self.assess(cx, request.server);
    }

    pub(super) fn on_pause(&mut self, cx: &mut Cx, server: usize, length: Duration) {
        self.guards[server].detector.on_pause(cx, length);
    }

    pub(super) fn on_tick(&mut self, cx: &mut Cx, at: f64, paused: bool) {
        self.ticks += 1;
        self.follow_phase(cx, at);
        for server in 0..self.guards.len() {
            if paused && server == 0 {
                continue;
            }
            self.probe(cx, server);
            self.assess(cx, server);
            let actions = self.guards[server].health.tick(cx);
            self.apply(cx, server, actions);
        }
    }

    /// Handles a read by a guard and returns the write that follows.
    pub(super) fn on_store_read(&mut self, cx: &mut Cx, op: StoreOp) -> Option<StoreWrite> {
        let id = &self.ids[op.server];
        let next = if op.grant {
            self.ledger.grant(&self.capacity, id, SLOTS, INCARNATION)
        } else {
            self.ledger.release(id, INCARNATION)
        };
        match next {
            Ok(next) => Some(StoreWrite { op, expected: self.ledger.sequence(), next }),
            Err(_) => {
                let answer = if op.grant { PermitAnswer::Refused } else { PermitAnswer::Released };
                self.answer(cx, op.server, answer);
                None
            }
        }
    }

    pub(super) fn on_store_write(&mut self, cx: &mut Cx, write: StoreWrite) {
        if self.ledger.sequence() != write.expected {
            self.effects.push(Effect::Store(write.op));
            return;
        }
        self.ledger = write.next;
        let server = write.op.server;
        if cx.rng.random::<f64>() < LOST_REPLIES {
            self.answer(cx, server, PermitAnswer::StoreUnavailable);
        } else if !write.op.grant {
            self.answer(cx, server, PermitAnswer::Released);
        } else if self.ledger.satisfies_floor(&self.capacity) {
            self.answer(cx, server, PermitAnswer::Granted);
        } else {
            self.answer(cx, server, PermitAnswer::Refused);
            let actions = self.guards[server].health.on_ledger_read(cx, true);
            self.apply(cx, server, actions);
        }
    }

    /// Returns the slots of ready servers that take work, as an outside observer counts them. A
    /// server in probation under a permit does not count.
    pub(super) fn healthy_slots(&self) -> u32 {
        let takes_work = |guard: &Guard| match guard.health.state() {
            HealthState::Serving | HealthState::Steered => true,
            HealthState::Ejected => false,
            HealthState::Probation => !guard.health.may_hold_permit(),
        };
        let ready = self.guards.iter().zip(&self.ids).filter(|(guard, _)| takes_work(guard));
        ready.map(|(_, id)| self.capacity.ready_slots(id)).sum()
    }

    fn choose_trial(&mut self, cx: &mut Cx, idempotent: bool, busy: &[u32]) -> Option<usize> {
        let wanted = |server: &usize| {
            busy[*server] < SLOTS && self.guards[*server].health.wants_trial(cx.now)
        };
        let server = (0..self.guards.len()).find(wanted)?;
        let health = &mut self.guards[server].health;
        let admission = health.admit(cx, RequestKind::Trial, idempotent);
        (admission == Admission::Admit).then_some(server)
    }

    fn choose_of(
        &mut self,
        cx: &mut Cx,
        idempotent: bool,
        busy: &[u32],
        kind: RequestKind,
    ) -> Option<usize> {
        let mut left: Vec<usize> =
            (0..self.guards.len()).filter(|server| busy[*server] < SLOTS).collect();
        while !left.is_empty() {
            let server = left.swap_remove(cx.rng.random_range(0..left.len()));
            let health = &mut self.guards[server].health;
            if health.admit(cx, kind, idempotent) == Admission::Admit {
                return Some(server);
            }
        }
        None
    }

    fn probe(&mut self, cx: &mut Cx, server: usize) {
        let guard = &mut self.guards[server];
        if self.ticks.is_multiple_of(PROBE_TICKS) {
            let lost = cx.rng.random::<f64>() < LOST_PROBES;
            let result = if lost { ProbeResult::TimedOut } else { ProbeResult::Healthy };
            guard.detector.on_probe(cx, result);
        }
        let own = self.estimators[server].baseline();
        if let (true, Some(baseline)) = (self.ticks.is_multiple_of(BASELINE_TICKS), own) {
            guard.detector.on_baseline(cx, baseline);
        }
    }

    fn assess(&mut self, cx: &mut Cx, server: usize) {
        let guard = &mut self.guards[server];
        let assessment = guard.detector.assess(cx);
        let actions = guard.health.on_assessment(cx, &assessment);
        self.apply(cx, server, actions);
    }

    fn answer(&mut self, cx: &mut Cx, server: usize, answer: PermitAnswer) {
        let actions = self.guards[server].health.on_permit_answer(cx, answer);
        self.apply(cx, server, actions);
    }

    fn apply(&mut self, cx: &mut Cx, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RequestPermit if self.alone => self.decide_alone(cx, server, true),
                Action::ReleasePermit if self.alone => self.decide_alone(cx, server, false),
                Action::RequestPermit => {
                    self.effects.push(Effect::Store(StoreOp { server, grant: true }));
                }
                Action::ReleasePermit => {
                    self.effects.push(Effect::Store(StoreOp { server, grant: false }));
                }
                Action::ResetEvidence => self.guards[server].detector.reset_evidence(cx),
                Action::Publish { from, to } => self.publish(server, from, to),
            }
        }
    }

    fn publish(&mut self, server: usize, from: HealthState, to: HealthState) {
        let was_open = matches!(from, HealthState::Serving | HealthState::Probation);
        if was_open && matches!(to, HealthState::Steered | HealthState::Ejected) {
            self.effects.push(Effect::CutOff(server));
        }
        if to == HealthState::Ejected {
            self.effects.push(Effect::Ejected(server));
        }
    }

    fn decide_alone(&mut self, cx: &mut Cx, server: usize, grant: bool) {
        let guard = &mut self.guards[server];
        let id = &self.ids[server];
        let next = if grant {
            guard.own.grant(&self.capacity, id, SLOTS, INCARNATION)
        } else {
            guard.own.release(id, INCARNATION)
        };
        let answer = match (grant, next) {
            (true, Ok(next)) => {
                guard.own = next;
                PermitAnswer::Granted
            }
            (true, Err(_)) => PermitAnswer::Refused,
            (false, Ok(next)) => {
                guard.own = next;
                PermitAnswer::Released
            }
            (false, Err(_)) => PermitAnswer::Released,
        };
        self.answer(cx, server, answer);
    }

    fn follow_phase(&mut self, cx: &mut Cx, at: f64) {
        let cold = self.script.cold(0, at);
        if cold == self.cold {
            return;
        }
        self.cold = cold;
        let phase = if cold { Phase::Cold } else { Phase::Ready };
        self.capacity.set(self.ids[0].clone(), server_capacity(phase));
        self.guards[0].detector.on_phase(cx, phase);
        if cold {
            self.guards[0].detector.reset_evidence(cx);
        }
    }
}

fn server_capacity(phase: Phase) -> ServerCapacity {
    ServerCapacity { slots: SLOTS, phase, alive: true }
}
