//! The components of `fescuemux-core`: a guard and an ingress for each backend server, and one
//! ledger.

use super::engine::{Effect, Request, SLOTS};
use super::trace::SeededTrace;
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

/// Share of ledger writes that take effect but whose reply from the store is lost.
const REPLY_LOSS: f64 = 0.02;
/// Share of health probes that time out by chance.
const PROBE_LOSS: f64 = 0.02;
/// Ticks between two health probes of a server.
const PROBE_TICKS: u64 = 20;
/// Ticks between two latency baselines that a guard receives from its local ingress.
const BASELINE_TICKS: u64 = 10;
/// Incarnation of all guards. No guard restarts in these traces.
const INCARNATION: u64 = 1;

/// Ledger change that a guard requests: granting or releasing the permit to eject its server.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreOp {
    server: usize,
    is_grant: bool,
}

/// Compare-and-swap in flight to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreWrite {
    op: StoreOp,
    /// Sequence number of the ledger that the write replaces.
    expected_sequence: u64,
    next_ledger: Ledger,
}

struct Guard {
    detector: Detector,
    health: HealthTracker,
    /// Ledger that only this guard uses, for [`Method::EachAlone`](super::Method::EachAlone).
    private_ledger: Ledger,
}

/// All daemons that serve one service.
pub(super) struct Fleet {
    seeded_trace: SeededTrace,
    uses_private_ledgers: bool,
    ids: Vec<ServerId>,
    guards: Vec<Guard>,
    baseline_estimators: Vec<BaselineEstimator>,
    capacity: ServiceCapacity,
    ledger: Ledger,
    effects: Vec<Effect>,
    ticks: u64,
    /// Whether server 0 announces the phase `cold`.
    announced_cold: bool,
}

impl Fleet {
    pub(super) fn new(
        seeded_trace: SeededTrace,
        preference: DetectionPreference,
        floor: u32,
        uses_private_ledgers: bool,
        now: Instant,
    ) -> Fleet {
        let ids: Vec<ServerId> = (0..seeded_trace.pool_size)
            .map(|server| ServerId::from(format!("server-{server}")))
            .collect();
        let mut capacity = ServiceCapacity::new(floor);
        for id in &ids {
            capacity.set(id.clone(), server_capacity(Phase::Ready));
        }
        let new_guard = || Guard {
            detector: Detector::new(DetectorConfig::new(preference), now),
            health: HealthTracker::new(HealthConfig::new(preference), now),
            private_ledger: Ledger::default(),
        };
        Fleet {
            seeded_trace,
            uses_private_ledgers,
            guards: ids.iter().map(|_| new_guard()).collect(),
            baseline_estimators: ids.iter().map(|_| BaselineEstimator::new()).collect(),
            ids,
            capacity,
            ledger: Ledger::default(),
            effects: Vec::new(),
            ticks: 0,
            announced_cold: false,
        }
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Chooses a server like an ingress that knows the published state of every server, or returns
    /// `None` if no server with a free slot admits the request.
    pub(super) fn choose_server(
        &mut self,
        cx: &mut Cx,
        idempotent: bool,
        busy_slots: &[u32],
    ) -> Option<(usize, RequestKind)> {
        if let Some(server) = self.choose_trial(cx, idempotent, busy_slots) {
            return Some((server, RequestKind::Trial));
        }
        let server = self.choose_random_admitting(cx, idempotent, busy_slots, RequestKind::Normal);
        if let Some(server) = server {
            return Some((server, RequestKind::Normal));
        }
        let server =
            self.choose_random_admitting(cx, idempotent, busy_slots, RequestKind::LastResort)?;
        Some((server, RequestKind::LastResort))
    }

    pub(super) fn on_start(&mut self, cx: &mut Cx, request: &Request) {
        let detector = &mut self.guards[request.server].detector;
        if let Some(baseline) = self.baseline_estimators[request.ingress].baseline() {
            detector.on_baseline(cx, baseline);
        }
        detector.on_start(cx, request.id);
    }

    /// Records the end of a request. `received` is the response as the ingress received it, or
    /// `None` when the response was lost.
    pub(super) fn on_finish(
        &mut self,
        cx: &mut Cx,
        request: &Request,
        outcome: Outcome,
        latency: Duration,
        received: Option<(Outcome, Duration)>,
    ) {
        if let Some((outcome, latency)) = received {
            let ok = outcome == Outcome::Ok;
            let id = &self.ids[request.server];
            self.baseline_estimators[request.ingress].on_answer(cx, id, latency, ok);
        }
        let observation = Observation { id: request.id, outcome, latency };
        let guard = &mut self.guards[request.server];
        guard.detector.on_finish(cx, observation);
        let mut actions = Vec::new();
        if request.kind == RequestKind::Trial {
            let end = guard.detector.classify_trial(&observation);
            actions = guard.health.on_trial_end(cx, end);
        }
        self.apply_actions(cx, request.server, actions);
        self.assess(cx, request.server);
    }

    pub(super) fn on_pause(&mut self, cx: &mut Cx, server: usize, length: Duration) {
        self.guards[server].detector.on_pause(cx, length);
    }

    pub(super) fn on_tick(&mut self, cx: &mut Cx, at_secs: f64, observer_paused: bool) {
        self.ticks += 1;
        self.update_phase(cx, at_secs);
        for server in 0..self.guards.len() {
            if observer_paused && server == 0 {
                continue;
            }
            self.probe(cx, server);
            self.assess(cx, server);
            let actions = self.guards[server].health.tick(cx);
            self.apply_actions(cx, server, actions);
        }
    }

    /// Handles a guard's read of the ledger and returns the write that follows, if any.
    pub(super) fn on_store_read(&mut self, cx: &mut Cx, op: StoreOp) -> Option<StoreWrite> {
        let id = &self.ids[op.server];
        let next_ledger = if op.is_grant {
            self.ledger.grant(&self.capacity, id, SLOTS, INCARNATION)
        } else {
            self.ledger.release(id, INCARNATION)
        };
        match next_ledger {
            Ok(next_ledger) => {
                Some(StoreWrite { op, expected_sequence: self.ledger.sequence(), next_ledger })
            }
            Err(_) => {
                let answer =
                    if op.is_grant { PermitAnswer::Refused } else { PermitAnswer::Released };
                self.on_permit_answer(cx, op.server, answer);
                None
            }
        }
    }

    pub(super) fn on_store_write(&mut self, cx: &mut Cx, write: StoreWrite) {
        if self.ledger.sequence() != write.expected_sequence {
            self.effects.push(Effect::Store(write.op));
            return;
        }
        self.ledger = write.next_ledger;
        let server = write.op.server;
        if cx.rng.random::<f64>() < REPLY_LOSS {
            self.on_permit_answer(cx, server, PermitAnswer::StoreUnavailable);
        } else if !write.op.is_grant {
            self.on_permit_answer(cx, server, PermitAnswer::Released);
        } else if self.ledger.satisfies_floor(&self.capacity) {
            self.on_permit_answer(cx, server, PermitAnswer::Granted);
        } else {
            self.on_permit_answer(cx, server, PermitAnswer::Refused);
            let actions = self.guards[server].health.on_ledger_read(cx, true);
            self.apply_actions(cx, server, actions);
        }
    }

    /// Returns the number of slots of ready servers that accept requests, according to the health
    /// state of each server and not to the ledger. Servers on probation that may hold a permit are
    /// not counted.
    pub(super) fn healthy_slots(&self) -> u32 {
        let accepts_requests = |guard: &Guard| match guard.health.state() {
            HealthState::Serving | HealthState::Steered => true,
            HealthState::Ejected => false,
            HealthState::Probation => !guard.health.may_hold_permit(),
        };
        let ready = self.guards.iter().zip(&self.ids).filter(|(guard, _)| accepts_requests(guard));
        ready.map(|(_, id)| self.capacity.ready_slots(id)).sum()
    }

    fn choose_trial(&mut self, cx: &mut Cx, idempotent: bool, busy_slots: &[u32]) -> Option<usize> {
        let wants_trial = |server: &usize| {
            busy_slots[*server] < SLOTS && self.guards[*server].health.wants_trial(cx.now)
        };
        let server = (0..self.guards.len()).find(wants_trial)?;
        let health = &mut self.guards[server].health;
        let admission = health.admit(cx, RequestKind::Trial, idempotent);
        (admission == Admission::Admit).then_some(server)
    }

    fn choose_random_admitting(
        &mut self,
        cx: &mut Cx,
        idempotent: bool,
        busy_slots: &[u32],
        kind: RequestKind,
    ) -> Option<usize> {
        let mut candidates: Vec<usize> =
            (0..self.guards.len()).filter(|server| busy_slots[*server] < SLOTS).collect();
        while !candidates.is_empty() {
            let server = candidates.swap_remove(cx.rng.random_range(0..candidates.len()));
            let health = &mut self.guards[server].health;
            if health.admit(cx, kind, idempotent) == Admission::Admit {
                return Some(server);
            }
        }
        None
    }

    /// Probes the health endpoint of a server and sends its guard a latency baseline, each if due.
    fn probe(&mut self, cx: &mut Cx, server: usize) {
        let guard = &mut self.guards[server];
        if self.ticks.is_multiple_of(PROBE_TICKS) {
            let timed_out = cx.rng.random::<f64>() < PROBE_LOSS;
            let result = if timed_out { ProbeResult::TimedOut } else { ProbeResult::Healthy };
            guard.detector.on_probe(cx, result);
        }
        let own_baseline = self.baseline_estimators[server].baseline();
        if let (true, Some(baseline)) = (self.ticks.is_multiple_of(BASELINE_TICKS), own_baseline) {
            guard.detector.on_baseline(cx, baseline);
        }
    }

    fn assess(&mut self, cx: &mut Cx, server: usize) {
        let guard = &mut self.guards[server];
        let assessment = guard.detector.assess(cx);
        let actions = guard.health.on_assessment(cx, &assessment);
        self.apply_actions(cx, server, actions);
    }

    fn on_permit_answer(&mut self, cx: &mut Cx, server: usize, answer: PermitAnswer) {
        let actions = self.guards[server].health.on_permit_answer(cx, answer);
        self.apply_actions(cx, server, actions);
    }

    fn apply_actions(&mut self, cx: &mut Cx, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RequestPermit if self.uses_private_ledgers => {
                    self.decide_with_private_ledger(cx, server, true)
                }
                Action::ReleasePermit if self.uses_private_ledgers => {
                    self.decide_with_private_ledger(cx, server, false)
                }
                Action::RequestPermit => {
                    self.effects.push(Effect::Store(StoreOp { server, is_grant: true }));
                }
                Action::ReleasePermit => {
                    self.effects.push(Effect::Store(StoreOp { server, is_grant: false }));
                }
                Action::ResetEvidence => self.guards[server].detector.reset_evidence(cx),
                Action::Publish { from, to } => self.publish(server, from, to),
            }
        }
    }

    fn publish(&mut self, server: usize, from: HealthState, to: HealthState) {
        let received_normal_requests =
            matches!(from, HealthState::Serving | HealthState::Probation);
        if received_normal_requests && matches!(to, HealthState::Steered | HealthState::Ejected) {
            self.effects.push(Effect::TrafficStopped(server));
        }
        if to == HealthState::Ejected {
            self.effects.push(Effect::Ejected(server));
        }
    }

    fn decide_with_private_ledger(&mut self, cx: &mut Cx, server: usize, is_grant: bool) {
        let guard = &mut self.guards[server];
        let id = &self.ids[server];
        let next_ledger = if is_grant {
            guard.private_ledger.grant(&self.capacity, id, SLOTS, INCARNATION)
        } else {
            guard.private_ledger.release(id, INCARNATION)
        };
        let answer = match (is_grant, next_ledger) {
            (true, Ok(next_ledger)) => {
                guard.private_ledger = next_ledger;
                PermitAnswer::Granted
            }
            (true, Err(_)) => PermitAnswer::Refused,
            (false, Ok(next_ledger)) => {
                guard.private_ledger = next_ledger;
                PermitAnswer::Released
            }
            (false, Err(_)) => PermitAnswer::Released,
        };
        self.on_permit_answer(cx, server, answer);
    }

    fn update_phase(&mut self, cx: &mut Cx, at_secs: f64) {
        let is_cold = self.seeded_trace.announces_cold(0, at_secs);
        if is_cold == self.announced_cold {
            return;
        }
        self.announced_cold = is_cold;
        let phase = if is_cold { Phase::Cold } else { Phase::Ready };
        self.capacity.set(self.ids[0].clone(), server_capacity(phase));
        self.guards[0].detector.on_phase(cx, phase);
        if is_cold {
            self.guards[0].detector.reset_evidence(cx);
        }
    }
}

fn server_capacity(phase: Phase) -> ServerCapacity {
    ServerCapacity { slots: SLOTS, phase, alive: true }
}
