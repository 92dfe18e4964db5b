//! Probation of backend servers when all servers of a service are in probation, or when the service
//! has no idempotent route.

use fescuemux_core::base::{Cx, DetectionPreference, Phase};
use fescuemux_core::detect::{Assessment, Level, TrialOutcome};
use fescuemux_core::eject::{self, Action, Admission, HealthConfig, HealthState, HealthTracker};
use fescuemux_core::route::{
    Endpoint, RequestKind, RouteQuery, Router, RouterConfig, ServerHealth,
};
use std::time::{Duration, Instant};

const SEED: u64 = 7;

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        server: format!("s-{number}").into(),
        service: "s".into(),
        instance: format!("i-{number}").into(),
        domain: "d".into(),
        region: "r".into(),
        slots: 4,
        phase: Phase::Ready,
        incarnation: 1,
        health: ServerHealth::Probation,
    }
}

/// Guards against an ingress that answers 503 although the guards of the service would admit the
/// requests. When the floor prevents every ejection, all servers can be steered and enter probation
/// together.
#[test]
fn a_service_in_probation_still_takes_last_resort_requests() {
    let mut cx = Cx::new(Instant::now(), SEED);
    let mut router = Router::new(RouterConfig::new("i".into(), "d".into(), "r".into()));
    (0..3).for_each(|number| router.upsert(&mut cx, endpoint(number)));
    let service = "s".into();
    // Puts one trial in flight at each server.
    for _ in 0..100 {
        if let Some(choice) = router.choose(&mut cx, &RouteQuery::first_attempt(&service, true))
            && choice.kind == RequestKind::Trial
        {
            router.on_sent(&mut cx, &choice);
        }
    }
    let choice = router.choose(&mut cx, &RouteQuery::first_attempt(&service, true));
    let kind = choice.map(|choice| choice.kind);
    assert_eq!(kind, Some(RequestKind::LastResort), "seed {SEED}: no server was chosen");
}

/// Returns a server in probation that holds no ledger permit.
fn in_probation(cx: &mut Cx) -> HealthTracker {
    let config = HealthConfig::new(DetectionPreference::FewFalseEjections);
    let mut health = HealthTracker::new(config.clone(), cx.now);
    let suspect = Assessment { level: Level::Suspect, score: 20.0, reasons: Vec::new() };
    health.on_assessment(cx, &suspect);
    assert_eq!(health.state(), HealthState::Steered);
    cx.now += config.base_hold_time;
    let actions = health.tick(cx);
    assert!(actions.contains(&Action::ResetEvidence), "{actions:?}");
    assert_eq!(health.state(), HealthState::Probation);
    health
}

/// Fails if a guard refuses last-resort requests without a ledger permit. The refusals would take
/// the server out of service although the floor does not allow its ejection.
#[test]
fn a_guard_admits_last_resort_requests_in_probation_without_a_permit() {
    let mut cx = Cx::new(Instant::now(), SEED);
    let mut health = in_probation(&mut cx);
    let admission = health.admit(&mut cx, eject::RequestKind::LastResort, false);
    assert_eq!(admission, Admission::Admit);
}

/// Fails if a server never returns to service because the service has no idempotent route. For
/// an hour, one trial per second is offered, and each admitted trial succeeds.
#[test]
fn a_service_without_idempotent_routes_returns() {
    let mut cx = Cx::new(Instant::now(), SEED);
    let mut health = in_probation(&mut cx);
    let mut admitted = 0;
    for _ in 0..3_600 {
        cx.now += Duration::from_secs(1);
        health.tick(&mut cx);
        let admission = health.admit(&mut cx, eject::RequestKind::Trial, false);
        if admission == Admission::Admit {
            admitted += 1;
            health.on_trial_end(&mut cx, TrialOutcome::Good);
        }
    }
    assert_eq!(
        health.state(),
        HealthState::Serving,
        "seed {SEED}: still not serving after {admitted} trials"
    );
}
