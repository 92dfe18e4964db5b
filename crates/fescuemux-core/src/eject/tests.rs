//! Guards against a server that returns too early, too late or with too much traffic, and against
//! ledger changes that break the floor.

use super::{
    Action, Admission, HealthConfig, HealthState, HealthTracker, Ledger, LedgerRefusal,
    PermitAnswer, RefuseReason, RequestKind, ServerCapacity, ServiceCapacity,
};
use crate::base::{Cx, DetectionPreference, Phase, ServerId};
use crate::detect::{Assessment, Level, TrialOutcome};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);

struct Bench {
    cx: Cx,
    health: HealthTracker,
}

impl Bench {
    fn new() -> Bench {
        let now = Instant::now();
        let health = HealthTracker::new(HealthConfig::new(DetectionPreference::FastDetection), now);
        Bench { cx: Cx::new(now, 1), health }
    }

    fn assess(&mut self, level: Level) -> Vec<Action> {
        let score = if level == Level::Healthy { 0.0 } else { 20.0 };
        let assessment = Assessment { level, score, reasons: Vec::new() };
        self.health.on_assessment(&mut self.cx, &assessment)
    }

    fn eject(&mut self) {
        self.assess(Level::Suspect);
        assert!(self.assess(Level::Bad).contains(&Action::RequestPermit));
        self.health.on_permit_answer(&mut self.cx, PermitAnswer::Granted);
        assert_eq!(self.health.state(), HealthState::Ejected);
    }

    fn admission(&mut self, kind: RequestKind, idempotent: bool) -> Admission {
        self.health.admit(&mut self.cx, kind, idempotent)
    }

    /// Advances until the state changes or the time is over, and returns the time passed.
    fn run_until_change(&mut self, most: Duration) -> Duration {
        let start = self.cx.now;
        let state = self.health.state();
        while self.health.state() == state && self.cx.now - start < most {
            self.cx.now += STEP;
            self.health.tick(&mut self.cx);
        }
        self.cx.now - start
    }

    fn pass_trials(&mut self) {
        let start = self.cx.now;
        while self.health.state() == HealthState::Probation && self.cx.now - start < STEP * 2_000 {
            if self.admission(RequestKind::Trial, true) == Admission::Admit {
                self.health.on_trial_end(&mut self.cx, TrialOutcome::Good);
            }
            self.cx.now += STEP;
            self.health.tick(&mut self.cx);
        }
        assert_eq!(self.health.state(), HealthState::Serving);
    }
}

#[test]
fn admission_follows_the_state() {
    use RefuseReason::{Ejected, ProbationShare, Steered, TrialNotIdempotent};
    struct Case {
        state: HealthState,
        kind: RequestKind,
        idempotent: bool,
        expect: Admission,
    }
    let case = |state, kind, idempotent, expect| Case { state, kind, idempotent, expect };
    let refuse = Admission::Refuse;
    let cases = [
        case(HealthState::Serving, RequestKind::Normal, false, Admission::Admit),
        case(HealthState::Steered, RequestKind::Normal, true, refuse(Steered)),
        case(HealthState::Steered, RequestKind::LastResort, false, Admission::Admit),
        case(HealthState::Steered, RequestKind::Trial, true, Admission::Admit),
        case(HealthState::Steered, RequestKind::Trial, false, refuse(TrialNotIdempotent)),
        case(HealthState::Ejected, RequestKind::Normal, true, refuse(Ejected)),
        case(HealthState::Ejected, RequestKind::LastResort, true, refuse(Ejected)),
        case(HealthState::Ejected, RequestKind::Trial, true, refuse(Ejected)),
        case(HealthState::Probation, RequestKind::Normal, true, refuse(ProbationShare)),
        case(HealthState::Probation, RequestKind::LastResort, true, refuse(ProbationShare)),
        case(HealthState::Probation, RequestKind::Trial, false, refuse(TrialNotIdempotent)),
        case(HealthState::Probation, RequestKind::Trial, true, Admission::Admit),
    ];
    for case in cases {
        let mut bench = Bench::new();
        match case.state {
            HealthState::Serving => {}
            HealthState::Steered => drop(bench.assess(Level::Suspect)),
            HealthState::Ejected => bench.eject(),
            HealthState::Probation => {
                bench.eject();
                bench.run_until_change(Duration::from_secs(10));
            }
        }
        assert_eq!(bench.health.state(), case.state);
        let admission = bench.admission(case.kind, case.idempotent);
        assert_eq!(admission, case.expect, "{:?} while {:?}", case.kind, case.state);
    }
}

/// A sick server must not receive several trials before the first one shows that it is sick.
#[test]
fn trials_go_one_at_a_time() {
    let mut bench = Bench::new();
    bench.eject();
    bench.run_until_change(Duration::from_secs(10));
    assert_eq!(bench.admission(RequestKind::Trial, true), Admission::Admit);
    let second = bench.admission(RequestKind::Trial, true);
    assert_eq!(second, Admission::Refuse(RefuseReason::TrialInFlight));
    bench.health.on_trial_end(&mut bench.cx, TrialOutcome::Bad);
    assert_eq!(bench.health.state(), HealthState::Ejected);
}

#[test]
fn a_lost_trial_does_not_block_the_return() {
    let mut bench = Bench::new();
    bench.eject();
    bench.run_until_change(Duration::from_secs(10));
    assert_eq!(bench.admission(RequestKind::Trial, true), Admission::Admit);
    bench.cx.now += Duration::from_secs(31);
    assert_eq!(bench.admission(RequestKind::Trial, true), Admission::Admit);
}

#[test]
fn hold_doubles_to_five_minutes_and_decays() {
    let mut bench = Bench::new();
    bench.eject();
    let mut expect = Duration::from_secs(5);
    for _ in 0..9 {
        let hold = bench.run_until_change(Duration::from_secs(400));
        assert!(hold >= expect && hold <= expect + STEP, "{hold:?} for {expect:?}");
        assert_eq!(bench.admission(RequestKind::Trial, true), Admission::Admit);
        bench.health.on_trial_end(&mut bench.cx, TrialOutcome::Bad);
        expect = (expect * 2).min(Duration::from_secs(300));
    }
    bench.run_until_change(Duration::from_secs(400));
    bench.pass_trials();
    bench.health.on_permit_answer(&mut bench.cx, PermitAnswer::Released);
    bench.cx.now += Duration::from_secs(600) * 7;
    bench.eject();
    let hold = bench.run_until_change(Duration::from_secs(400));
    assert!(hold <= Duration::from_secs(5) + STEP, "{hold:?} after a long good time");
}

#[test]
fn share_grows_after_the_trials() {
    let mut bench = Bench::new();
    bench.eject();
    bench.run_until_change(Duration::from_secs(10));
    let mut shares = vec![bench.health.normal_share(bench.cx.now)];
    while bench.health.state() == HealthState::Probation {
        if bench.admission(RequestKind::Trial, true) == Admission::Admit {
            bench.health.on_trial_end(&mut bench.cx, TrialOutcome::Good);
        }
        bench.cx.now += STEP;
        bench.health.tick(&mut bench.cx);
        shares.push(bench.health.normal_share(bench.cx.now));
    }
    shares.dedup();
    assert_eq!(shares, [0.0, 0.1, 0.25, 0.5, 1.0]);
}

/// A permit that arrives after the server returned would shrink the capacity for nothing.
#[test]
fn a_late_permit_is_released() {
    let mut bench = Bench::new();
    bench.assess(Level::Suspect);
    bench.assess(Level::Bad);
    bench.assess(Level::Healthy);
    assert_eq!(bench.health.state(), HealthState::Serving);
    bench.health.on_permit_answer(&mut bench.cx, PermitAnswer::Released);
    let actions = bench.health.on_permit_answer(&mut bench.cx, PermitAnswer::Granted);
    assert_eq!(actions, [Action::ReleasePermit]);
    assert_eq!(bench.health.state(), HealthState::Serving);
}

#[test]
fn an_unanswered_release_is_repeated() {
    let mut bench = Bench::new();
    bench.eject();
    assert!(bench.health.return_early(&mut bench.cx).contains(&Action::ReleasePermit));
    assert_eq!(bench.health.state(), HealthState::Steered);
    bench.health.on_permit_answer(&mut bench.cx, PermitAnswer::StoreUnavailable);
    bench.cx.now += Duration::from_millis(4_900);
    assert_eq!(bench.health.tick(&mut bench.cx), []);
    bench.cx.now += Duration::from_millis(100);
    assert!(bench.health.tick(&mut bench.cx).contains(&Action::ReleasePermit));
}

#[test]
fn the_ledger_as_read_corrects_the_state() {
    let mut bench = Bench::new();
    let actions = bench.health.on_ledger_read(&mut bench.cx, true);
    assert_eq!(actions, [Action::ReleasePermit], "entry of an earlier guard");
    bench.health.on_permit_answer(&mut bench.cx, PermitAnswer::Released);
    bench.eject();
    bench.health.on_ledger_read(&mut bench.cx, false);
    assert_eq!(bench.health.state(), HealthState::Steered, "entry was pruned");
}

fn capacity(servers: usize, floor: u32) -> (ServiceCapacity, Vec<ServerId>) {
    let ids: Vec<ServerId> = (0..servers).map(|i| ServerId::from(format!("s{i}"))).collect();
    let mut capacity = ServiceCapacity::new(floor);
    for id in &ids {
        set(&mut capacity, id, Phase::Ready, true);
    }
    (capacity, ids)
}

fn set(capacity: &mut ServiceCapacity, id: &ServerId, phase: Phase, alive: bool) {
    capacity.set(id.clone(), ServerCapacity { slots: 4, phase, alive });
}

#[test]
fn only_healthy_capacity_counts() {
    struct Case {
        name: &'static str,
        phase: Phase,
        alive: bool,
        granted: bool,
    }
    let cases = [
        Case { name: "ready", phase: Phase::Ready, alive: true, granted: true },
        Case { name: "cold", phase: Phase::Cold, alive: true, granted: false },
        Case { name: "draining", phase: Phase::Draining, alive: true, granted: false },
        Case { name: "dead", phase: Phase::Ready, alive: false, granted: false },
    ];
    for case in cases {
        let (mut capacity, ids) = capacity(6, 20);
        set(&mut capacity, &ids[5], case.phase, case.alive);
        let result = Ledger::default().grant(&capacity, &ids[0], 4, 1);
        assert_eq!(result.is_ok(), case.granted, "{}", case.name);
    }
}

/// A guard that returned without the store must not be ejected again below the floor only
/// because its old entry is still there.
#[test]
fn a_held_entry_is_checked_against_a_raised_floor() {
    let (mut capacity, ids) = capacity(6, 20);
    let ledger = Ledger::default().grant(&capacity, &ids[0], 4, 1).expect("above floor");
    capacity.floor = 24;
    let again = ledger.grant(&capacity, &ids[0], 4, 1);
    assert_eq!(again, Err(LedgerRefusal::BelowFloor { left: 20, floor: 24 }));
}

#[test]
fn older_guards_are_fenced() {
    let (capacity, ids) = capacity(6, 8);
    let ledger = Ledger::default().grant(&capacity, &ids[0], 4, 5).expect("above floor");
    let older = Err(LedgerRefusal::StaleIncarnation { given: 4, newest: 5 });
    assert_eq!(ledger.release(&ids[0], 4), older);
    assert_eq!(ledger.grant(&capacity, &ids[0], 4, 4), older);
    let released = ledger.release(&ids[0], 5).expect("held");
    assert_eq!(released.grant(&capacity, &ids[0], 4, 4), older, "fence outlives the entry");
    assert!(released.grant(&capacity, &ids[0], 4, 6).is_ok());
}

#[test]
fn last_ejected_return_first_and_no_more_than_needed() {
    let (mut capacity, ids) = capacity(10, 12);
    let mut ledger = Ledger::default();
    for id in &ids[..4] {
        ledger = ledger.grant(&capacity, id, 4, 1).expect("above floor");
    }
    assert!(ledger.servers_to_return(&capacity, 24).is_empty());
    set(&mut capacity, &ids[3], Phase::Ready, false);
    set(&mut capacity, &ids[9], Phase::Draining, true);
    let returning = ledger.servers_to_return(&capacity, 28);
    assert_eq!(returning, [ids[2].clone(), ids[1].clone()], "the dead one is passed over");
}
