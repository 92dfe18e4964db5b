//! Guards against a server that returns to service too early, too late or with too many requests,
//! and against ledger changes that violate the floor.

use super::{
    Action, Admission, HealthConfig, HealthState, HealthTracker, Ledger, LedgerRefusal,
    PermitAnswer, RefuseReason, RequestKind, ServerCapacity, ServiceCapacity,
};
use crate::base::{Cx, DetectionPreference, Phase, ServerId};
use crate::detect::{Assessment, Level, TrialOutcome};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);

struct Fixture {
    cx: Cx,
    health: HealthTracker,
}

impl Fixture {
    fn new() -> Fixture {
        let now = Instant::now();
        let health = HealthTracker::new(HealthConfig::new(DetectionPreference::FastDetection), now);
        Fixture { cx: Cx::new(now, 1), health }
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

    fn admit(&mut self, kind: RequestKind, idempotent: bool) -> Admission {
        self.health.admit(&mut self.cx, kind, idempotent)
    }

    /// Advances the time until the state changes or `limit` has elapsed. Returns the elapsed time.
    fn run_until_change(&mut self, limit: Duration) -> Duration {
        let start = self.cx.now;
        let state = self.health.state();
        while self.health.state() == state && self.cx.now - start < limit {
            self.cx.now += STEP;
            self.health.tick(&mut self.cx);
        }
        self.cx.now - start
    }

    fn pass_trials(&mut self) {
        let start = self.cx.now;
        while self.health.state() == HealthState::Probation && self.cx.now - start < STEP * 2_000 {
            if self.admit(RequestKind::Trial, true) == Admission::Admit {
                self.health.on_trial_end(&mut self.cx, TrialOutcome::Good);
            }
            self.cx.now += STEP;
            self.health.tick(&mut self.cx);
        }
        assert_eq!(self.health.state(), HealthState::Serving);
    }
}

#[test]
fn admission_depends_on_the_state() {
    use RefuseReason::{Ejected, ProbationShare, Steered, TrialNotIdempotent};
    struct Case {
        state: HealthState,
        kind: RequestKind,
        idempotent: bool,
        expected: Admission,
    }
    let case = |state, kind, idempotent, expected| Case { state, kind, idempotent, expected };
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
        let mut fixture = Fixture::new();
        match case.state {
            HealthState::Serving => {}
            HealthState::Steered => drop(fixture.assess(Level::Suspect)),
            HealthState::Ejected => fixture.eject(),
            HealthState::Probation => {
                fixture.eject();
                fixture.run_until_change(Duration::from_secs(10));
            }
        }
        assert_eq!(fixture.health.state(), case.state);
        let admission = fixture.admit(case.kind, case.idempotent);
        assert_eq!(admission, case.expected, "{:?} while {:?}", case.kind, case.state);
    }
}

/// Guards against a second trial while the first trial is in flight. On a faulty server both would
/// fail.
#[test]
fn trials_run_one_at_a_time() {
    let mut fixture = Fixture::new();
    fixture.eject();
    fixture.run_until_change(Duration::from_secs(10));
    assert_eq!(fixture.admit(RequestKind::Trial, true), Admission::Admit);
    let second = fixture.admit(RequestKind::Trial, true);
    assert_eq!(second, Admission::Refuse(RefuseReason::TrialInFlight));
    fixture.health.on_trial_end(&mut fixture.cx, TrialOutcome::Bad);
    assert_eq!(fixture.health.state(), HealthState::Ejected);
}

#[test]
fn a_trial_without_a_reported_end_does_not_block_the_return() {
    let mut fixture = Fixture::new();
    fixture.eject();
    fixture.run_until_change(Duration::from_secs(10));
    assert_eq!(fixture.admit(RequestKind::Trial, true), Admission::Admit);
    fixture.cx.now += Duration::from_secs(31);
    assert_eq!(fixture.admit(RequestKind::Trial, true), Admission::Admit);
}

#[test]
fn hold_doubles_to_five_minutes_and_decays() {
    let mut fixture = Fixture::new();
    fixture.eject();
    let mut expected = Duration::from_secs(5);
    for _ in 0..9 {
        let hold = fixture.run_until_change(Duration::from_secs(400));
        assert!(hold >= expected && hold <= expected + STEP, "{hold:?} for {expected:?}");
        assert_eq!(fixture.admit(RequestKind::Trial, true), Admission::Admit);
        fixture.health.on_trial_end(&mut fixture.cx, TrialOutcome::Bad);
        expected = (expected * 2).min(Duration::from_secs(300));
    }
    fixture.run_until_change(Duration::from_secs(400));
    fixture.pass_trials();
    fixture.health.on_permit_answer(&mut fixture.cx, PermitAnswer::Released);
    fixture.cx.now += Duration::from_secs(600) * 7;
    fixture.eject();
    let hold = fixture.run_until_change(Duration::from_secs(400));
    assert!(hold <= Duration::from_secs(5) + STEP, "{hold:?} after a long time in service");
}

#[test]
fn share_grows_after_the_trials() {
    let mut fixture = Fixture::new();
    fixture.eject();
    fixture.run_until_change(Duration::from_secs(10));
    let mut shares = vec![fixture.health.normal_share(fixture.cx.now)];
    while fixture.health.state() == HealthState::Probation {
        if fixture.admit(RequestKind::Trial, true) == Admission::Admit {
            fixture.health.on_trial_end(&mut fixture.cx, TrialOutcome::Good);
        }
        fixture.cx.now += STEP;
        fixture.health.tick(&mut fixture.cx);
        shares.push(fixture.health.normal_share(fixture.cx.now));
    }
    shares.dedup();
    assert_eq!(shares, [0.0, 0.1, 0.25, 0.5, 1.0]);
}

/// Guards against a permit that is granted after the server returned to service and then keeps the
/// server out of the healthy capacity.
#[test]
fn a_late_permit_is_released() {
    let mut fixture = Fixture::new();
    fixture.assess(Level::Suspect);
    fixture.assess(Level::Bad);
    fixture.assess(Level::Healthy);
    assert_eq!(fixture.health.state(), HealthState::Serving);
    fixture.health.on_permit_answer(&mut fixture.cx, PermitAnswer::Released);
    let actions = fixture.health.on_permit_answer(&mut fixture.cx, PermitAnswer::Granted);
    assert_eq!(actions, [Action::ReleasePermit]);
    assert_eq!(fixture.health.state(), HealthState::Serving);
}

#[test]
fn an_unanswered_release_is_repeated() {
    let mut fixture = Fixture::new();
    fixture.eject();
    assert!(fixture.health.return_early(&mut fixture.cx).contains(&Action::ReleasePermit));
    assert_eq!(fixture.health.state(), HealthState::Steered);
    fixture.health.on_permit_answer(&mut fixture.cx, PermitAnswer::StoreUnavailable);
    fixture.cx.now += Duration::from_millis(4_900);
    assert_eq!(fixture.health.tick(&mut fixture.cx), []);
    fixture.cx.now += Duration::from_millis(100);
    assert!(fixture.health.tick(&mut fixture.cx).contains(&Action::ReleasePermit));
}

#[test]
fn a_ledger_read_corrects_the_state() {
    let mut fixture = Fixture::new();
    let actions = fixture.health.on_ledger_read(&mut fixture.cx, true);
    assert_eq!(actions, [Action::ReleasePermit], "entry of an earlier guard");
    fixture.health.on_permit_answer(&mut fixture.cx, PermitAnswer::Released);
    fixture.eject();
    fixture.health.on_ledger_read(&mut fixture.cx, false);
    assert_eq!(fixture.health.state(), HealthState::Steered, "entry was pruned");
}

fn capacity(servers: usize, floor: u32) -> (ServiceCapacity, Vec<ServerId>) {
    let ids: Vec<ServerId> = (0..servers).map(|i| ServerId::from(format!("s{i}"))).collect();
    let mut capacity = ServiceCapacity::new(floor);
    for id in &ids {
        set_server(&mut capacity, id, Phase::Ready, true);
    }
    (capacity, ids)
}

fn set_server(capacity: &mut ServiceCapacity, id: &ServerId, phase: Phase, alive: bool) {
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
        set_server(&mut capacity, &ids[5], case.phase, case.alive);
        let result = Ledger::default().grant(&capacity, &ids[0], 4, 1);
        assert_eq!(result.is_ok(), case.granted, "{}", case.name);
    }
}

/// Guards against an ejection below the floor because of an old entry, which remains in the ledger
/// when a server returns to service while the store is unavailable.
#[test]
fn an_existing_entry_is_checked_against_a_raised_floor() {
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
    let released = ledger.release(&ids[0], 5).expect("has an entry");
    assert_eq!(released.grant(&capacity, &ids[0], 4, 4), older, "the fence remains");
    assert!(released.grant(&capacity, &ids[0], 4, 6).is_ok());
}

#[test]
fn the_last_ejected_return_first_and_no_more_than_needed() {
    let (mut capacity, ids) = capacity(10, 12);
    let mut ledger = Ledger::default();
    for id in &ids[..4] {
        ledger = ledger.grant(&capacity, id, 4, 1).expect("above floor");
    }
    assert!(ledger.servers_to_return(&capacity, 24).is_empty());
    set_server(&mut capacity, &ids[3], Phase::Ready, false);
    set_server(&mut capacity, &ids[9], Phase::Draining, true);
    let returning = ledger.servers_to_return(&capacity, 28);
    assert_eq!(returning, [ids[2].clone(), ids[1].clone()], "the dead server is skipped");
}
