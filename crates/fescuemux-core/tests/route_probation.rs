//! Routing while every backend server of a service returns from steering.

use fescuemux_core::base::{Cx, Phase};
use fescuemux_core::eject::{Action, Admission, Health, HealthConfig, State};
use fescuemux_core::route::{
    Endpoint, EndpointHealth, RequestKind, RouteQuery, Router, RouterConfig,
};
use std::time::Instant;

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
        health: EndpointHealth::Probation,
    }
}

/// Guards against a service that answers 503 although its guards would take the requests: when
/// the floor refuses the ejections, all servers are steered and enter probation at the same time.
#[test]
fn a_service_in_probation_still_takes_last_resort_requests() {
    let mut cx = Cx::new(Instant::now(), SEED);
    let mut router = Router::new(RouterConfig::new("i".into(), "d".into(), "r".into()));
    (0..3).for_each(|number| router.upsert(&mut cx, endpoint(number)));
    let service = "s".into();
    // One trial is under way at each server, as after the first requests.
    for _ in 0..100 {
        if let Some(choice) = router.choose(&mut cx, &RouteQuery::first(&service, true))
            && choice.kind == RequestKind::Trial
        {
            router.on_sent(&mut cx, &choice);
        }
    }
    let choice = router.choose(&mut cx, &RouteQuery::first(&service, true));
    let kind = choice.map(|choice| choice.kind);
    assert_eq!(kind, Some(RequestKind::LastResort), "seed {SEED}: the service takes nothing");
}

/// Shows that the guard's side admits what the router withholds: no permit is held.
#[test]
fn a_guard_admits_last_resort_requests_in_probation_without_a_permit() {
    use fescuemux_core::base::Favor;
    use fescuemux_core::detect::{Assessment, Level};
    use fescuemux_core::eject::RequestKind;

    let mut cx = Cx::new(Instant::now(), SEED);
    let config = HealthConfig::new(Favor::FewFalseEjections);
    let mut health = Health::new(config.clone(), cx.now);
    let suspect = Assessment { level: Level::Suspect, score: 20.0, reasons: Vec::new() };
    health.on_assessment(&mut cx, &suspect);
    assert_eq!(health.state(), State::Steered);
    cx.now += config.base_hold;
    let actions = health.tick(&mut cx);
    assert!(actions.contains(&Action::ResetEvidence), "{actions:?}");
    assert_eq!(health.state(), State::Probation);
    assert_eq!(health.admission(&mut cx, RequestKind::LastResort, false), Admission::Admit);
}
