//! Guards against ejections below the floor under concurrent compare-and-swaps, delayed writes,
//! lost replies, guards that resume after a long pause, and guard restarts.
//!
//! The model follows the contract of a daemon: one ledger operation at a time, a read before each
//! write, and a new read after a lost reply. Writes of a guard that stopped waiting or was
//! replaced stay in flight and may take effect at any later time.

use fescuemux_core::base::{Cx, DetectionPreference, Incarnation, Phase, ServerId};
use fescuemux_core::detect::{Assessment, Level, TrialOutcome};
use fescuemux_core::eject::{
    Action, Admission, HealthConfig, HealthState, HealthTracker, Ledger, LedgerRefusal,
    PermitAnswer, RequestKind, ServerCapacity, ServiceCapacity,
};
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const SLOTS: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    Assess {
        guard: usize,
        bad: bool,
    },
    /// The guard reads the ledger and sends its pending change, unless a write is in flight.
    Read {
        guard: usize,
    },
    /// A write in flight reaches the store. Without `reply`, its reply is lost.
    Deliver {
        write: usize,
        reply: bool,
    },
    /// The guard stops waiting for its write, which stays in flight.
    StopWaiting {
        guard: usize,
    },
    /// A new guard takes over; writes of the old one stay in flight.
    Restart {
        guard: usize,
    },
    /// A replaced guard resumes, reads the ledger and tries to release the entry of its server.
    OldGuardReleases {
        guard: usize,
    },
    Trial {
        guard: usize,
        good: bool,
    },
    Advance {
        seconds: u64,
    },
    SetFloor {
        servers: u32,
    },
}

/// A compare-and-swap of the ledger in flight.
struct Write {
    guard: usize,
    incarnation: Incarnation,
    /// Whether the change is a grant; otherwise it is a release.
    is_grant: bool,
    expected_sequence: u64,
    next: Ledger,
}

struct Guard {
    incarnation: Incarnation,
    health: HealthTracker,
    /// Change to request at the next read: true for a grant, false for a release.
    pending_change: Option<bool>,
    write_in_flight: bool,
}

struct Model {
    cx: Cx,
    ids: Vec<ServerId>,
    guards: Vec<Guard>,
    capacity: ServiceCapacity,
    ledger: Ledger,
    writes: Vec<Write>,
    /// Lets the store apply writes based on an outdated ledger, to test that the check then fails.
    ignore_versions: bool,
    /// Floor, in slots, before the current step.
    floor_before_step: u32,
}

impl Model {
    fn new(floor: u32, ignore_versions: bool) -> Model {
        let now = Instant::now();
        let ids: Vec<ServerId> = (0..SERVERS).map(|i| ServerId::from(format!("s{i}"))).collect();
        let mut capacity = ServiceCapacity::new(floor * SLOTS);
        for id in &ids {
            let server = ServerCapacity { slots: SLOTS, phase: Phase::Ready, alive: true };
            capacity.set(id.clone(), server);
        }
        Model {
            cx: Cx::new(now, 1),
            guards: ids.iter().map(|_| Guard::new(1, now)).collect(),
            ids,
            floor_before_step: capacity.floor,
            capacity,
            ledger: Ledger::default(),
            writes: Vec::new(),
            ignore_versions,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Assess { guard, bad } => self.assess(guard, bad),
            Step::Read { guard } => self.read(guard),
            Step::Deliver { write, reply } => self.deliver(write, reply),
            Step::StopWaiting { guard } => {
                self.guards[guard].write_in_flight = false;
                self.answer(guard, PermitAnswer::StoreUnavailable);
            }
            Step::Restart { guard } => {
                let incarnation = self.guards[guard].incarnation + 1;
                self.guards[guard] = Guard::new(incarnation, self.cx.now);
            }
            Step::OldGuardReleases { guard } => self.old_guard_releases(guard),
            Step::Trial { guard, good } => self.trial(guard, good),
            Step::Advance { seconds } => self.advance(seconds),
            Step::SetFloor { servers } => self.set_floor(servers),
        }
    }

    fn apply_actions(&mut self, guard: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RequestPermit => self.guards[guard].pending_change = Some(true),
                Action::ReleasePermit => self.guards[guard].pending_change = Some(false),
                Action::ResetEvidence | Action::Publish { .. } => {}
            }
        }
    }

    fn answer(&mut self, guard: usize, answer: PermitAnswer) {
        let actions = self.guards[guard].health.on_permit_answer(&mut self.cx, answer);
        self.apply_actions(guard, actions);
    }

    fn assess(&mut self, guard: usize, bad: bool) {
        let (level, score) = if bad { (Level::Bad, 30.0) } else { (Level::Healthy, 0.0) };
        let assessment = Assessment { level, score, reasons: Vec::new() };
        let actions = self.guards[guard].health.on_assessment(&mut self.cx, &assessment);
        self.apply_actions(guard, actions);
    }

    fn read(&mut self, guard: usize) {
        if self.guards[guard].write_in_flight {
            return;
        }
        let id = self.ids[guard].clone();
        let incarnation = self.guards[guard].incarnation;
        let has_entry = self.ledger.entry(&id).is_some();
        let actions = self.guards[guard].health.on_ledger_read(&mut self.cx, has_entry);
        self.apply_actions(guard, actions);
        let Some(is_grant) = self.guards[guard].pending_change.take() else { return };
        let next = if is_grant {
            self.ledger.grant(&self.capacity, &id, SLOTS, incarnation)
        } else {
            self.ledger.release(&id, incarnation)
        };
        match next {
            Ok(next) => {
                let expected_sequence = self.ledger.sequence();
                self.writes.push(Write { guard, incarnation, is_grant, expected_sequence, next });
                self.guards[guard].write_in_flight = true;
            }
            Err(LedgerRefusal::NotEjected) => self.answer(guard, PermitAnswer::Released),
            Err(_) => self.answer(guard, PermitAnswer::Refused),
        }
    }

    fn deliver(&mut self, index: usize, reply: bool) {
        if self.writes.is_empty() {
            return;
        }
        let write = self.writes.swap_remove(index % self.writes.len());
        let applied = self.ignore_versions || self.ledger.sequence() == write.expected_sequence;
        if applied {
            self.ledger = write.next;
        }
        let guard = &mut self.guards[write.guard];
        if guard.incarnation != write.incarnation || !guard.write_in_flight {
            return;
        }
        guard.write_in_flight = false;
        match (reply, applied) {
            (false, _) => self.answer(write.guard, PermitAnswer::StoreUnavailable),
            (true, false) => self.guards[write.guard].pending_change = Some(write.is_grant),
            (true, true) if write.is_grant => self.on_grant_written(write.guard),
            (true, true) => self.answer(write.guard, PermitAnswer::Released),
        }
    }

    fn on_grant_written(&mut self, guard: usize) {
        if self.ledger.satisfies_floor(&self.capacity) {
            self.answer(guard, PermitAnswer::Granted);
            return;
        }
        self.answer(guard, PermitAnswer::Refused);
        let actions = self.guards[guard].health.on_ledger_read(&mut self.cx, true);
        self.apply_actions(guard, actions);
    }

    fn old_guard_releases(&mut self, guard: usize) {
        let incarnation = self.guards[guard].incarnation - 1;
        if let Ok(next) = self.ledger.release(&self.ids[guard], incarnation) {
            let expected_sequence = self.ledger.sequence();
            self.writes.push(Write {
                guard,
                incarnation,
                is_grant: false,
                expected_sequence,
                next,
            });
        }
    }

    fn trial(&mut self, guard: usize, good: bool) {
        let health = &mut self.guards[guard].health;
        if health.admit(&mut self.cx, RequestKind::Trial, true) == Admission::Admit {
            let outcome = if good { TrialOutcome::Good } else { TrialOutcome::Bad };
            let actions = health.on_trial_end(&mut self.cx, outcome);
            self.apply_actions(guard, actions);
        }
    }

    fn advance(&mut self, seconds: u64) {
        self.cx.now += Duration::from_secs(seconds);
        for guard in 0..SERVERS {
            let actions = self.guards[guard].health.tick(&mut self.cx);
            self.apply_actions(guard, actions);
        }
    }

    fn set_floor(&mut self, servers: u32) {
        self.capacity.floor = servers * SLOTS;
        for id in self.ledger.servers_to_return(&self.capacity, self.capacity.floor) {
            let guard = self.ids.iter().position(|known| *known == id).expect("known server");
            let actions = self.guards[guard].health.return_early(&mut self.cx);
            self.apply_actions(guard, actions);
        }
    }

    fn ejected_count(&self) -> usize {
        self.guards.iter().filter(|guard| guard.health.state() == HealthState::Ejected).count()
    }

    fn healthy_slots(&self) -> u32 {
        (SERVERS - self.ejected_count()) as u32 * SLOTS
    }

    /// Checks that a step that began with `healthy_before` slots did not eject below the floor, and
    /// that every ejected server has an entry of its guard.
    fn check(&self, healthy_before: u32) -> Result<(), TestCaseError> {
        let (healthy, floor) =
            (self.healthy_slots(), self.floor_before_step.min(self.capacity.floor));
        if healthy < healthy_before && healthy < floor {
            return Err(TestCaseError::fail(format!("{healthy} slots left, floor is {floor}")));
        }
        for (guard, id) in self.guards.iter().zip(&self.ids) {
            let entry = self.ledger.entry(id).map(|entry| entry.incarnation);
            if guard.health.state() == HealthState::Ejected && entry != Some(guard.incarnation) {
                return Err(TestCaseError::fail(format!("{id} is ejected without an entry")));
            }
        }
        Ok(())
    }
}

impl Guard {
    fn new(incarnation: Incarnation, now: Instant) -> Guard {
        let health = HealthTracker::new(HealthConfig::new(DetectionPreference::FastDetection), now);
        Guard { incarnation, health, pending_change: None, write_in_flight: false }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let guard = 0..SERVERS;
    prop_oneof![
        6 => (guard.clone(), any::<bool>())
            .prop_map(|(guard, bad)| Step::Assess { guard, bad }),
        4 => guard.clone().prop_map(|guard| Step::Assess { guard, bad: true }),
        12 => guard.clone().prop_map(|guard| Step::Read { guard }),
        10 => (0..8usize, any::<bool>())
            .prop_map(|(write, reply)| Step::Deliver { write, reply }),
        2 => guard.clone().prop_map(|guard| Step::StopWaiting { guard }),
        1 => guard.clone().prop_map(|guard| Step::Restart { guard }),
        1 => guard.clone().prop_map(|guard| Step::OldGuardReleases { guard }),
        4 => (guard, any::<bool>()).prop_map(|(guard, good)| Step::Trial { guard, good }),
        3 => (1..8u64).prop_map(|seconds| Step::Advance { seconds }),
        1 => (2..6u32).prop_map(|servers| Step::SetFloor { servers }),
    ]
}

/// Runs a fixed sequence of cases, so that the result does not vary between runs.
fn explore(cases: u32, ignore_versions: bool) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..250);
    let result = runner.run(&(2..6u32, steps), |(floor, steps)| {
        let mut model = Model::new(floor, ignore_versions);
        for step in &steps {
            let healthy_before = model.healthy_slots();
            model.floor_before_step = model.capacity.floor;
            model.step(step);
            model.check(healthy_before)?;
        }
        Ok(())
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn floor_holds_over_any_interleaving() {
    if let Err(failure) = explore(4_000, false) {
        panic!("{failure}");
    }
}

/// Guards against a check that cannot fail: it must fail for a store without compare-and-swap.
#[test]
fn a_store_that_ignores_versions_is_detected() {
    assert!(explore(4_000, true).is_err());
}

/// Guards against ejected servers that stay ejected when lost servers reduce the capacity below the
/// floor.
#[test]
fn lost_capacity_returns_ejected_servers() {
    for losses in 0..=3 {
        let mut model = Model::new(3, false);
        for guard in 0..SERVERS {
            model.step(&Step::Assess { guard, bad: true });
            model.step(&Step::Assess { guard, bad: true });
            model.step(&Step::Read { guard });
            model.step(&Step::Deliver { write: 0, reply: true });
        }
        assert_eq!(model.ejected_count(), 3);
        for id in model.ids.iter().rev().take(losses) {
            let lost = ServerCapacity { slots: SLOTS, phase: Phase::Ready, alive: false };
            model.capacity.set(id.clone(), lost);
        }
        model.set_floor(3);
        assert_eq!(model.ejected_count(), 3 - losses, "{losses} losses");
    }
}
