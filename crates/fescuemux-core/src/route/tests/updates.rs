//! Membership records and health reports that arrive late, repeated or out of order.

use super::support::{answer_with_load, chosen_share, cx, endpoint, router};
use crate::base::Cx;
use crate::route::{AttemptAnswer, Endpoint, Router, ServerHealth};
use ServerHealth::{Ejected, Serving, Steered};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    expected: ServerHealth,
}

enum Step {
    /// A membership record of this incarnation and health.
    Record(u64, ServerHealth),
    /// A health report with an answer.
    Report(ServerHealth),
}
use Step::{Record, Report};

const CASES: &[Case] = &[
    Case { name: "report", steps: &[Record(1, Serving), Report(Steered)], expected: Steered },
    Case {
        name: "a repeated record does not undo a report",
        steps: &[Record(1, Serving), Report(Steered), Record(1, Serving)],
        expected: Steered,
    },
    Case {
        name: "a changed record overrides a report",
        steps: &[Record(1, Serving), Report(Steered), Record(1, Ejected)],
        expected: Ejected,
    },
    Case {
        name: "a record of an earlier incarnation is ignored",
        steps: &[Record(2, Ejected), Record(1, Serving)],
        expected: Ejected,
    },
    Case {
        name: "a record of a later incarnation overrides a report",
        steps: &[Record(1, Serving), Report(Ejected), Record(2, Serving)],
        expected: Serving,
    },
];

#[test]
fn the_newest_health_is_used() {
    for case in CASES {
        let (mut cx, mut router) = (cx(), router());
        for step in case.steps {
            apply(&mut router, &mut cx, step);
        }
        assert_eq!(router.health(&"a".into()), Some(case.expected), "{}", case.name);
    }
}

fn apply(router: &mut Router, cx: &mut Cx, step: &Step) {
    match step {
        Record(incarnation, health) => {
            let (incarnation, health) = (*incarnation, *health);
            router.upsert(cx, Endpoint { incarnation, health, ..endpoint("a", "d1") });
        }
        Report(health) => {
            let answer = AttemptAnswer { health: Some(*health), ..answer_with_load(0, 0) };
            router.on_answer(cx, &"a".into(), answer);
        }
    }
}

/// Guards against a server that stays listed in its old failure domain after it moved.
#[test]
fn a_moved_server_is_listed_once() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("a", "d1"));
    router.upsert(&mut cx, endpoint("b", "d1"));
    router.upsert(&mut cx, endpoint("a", "x1"));
    assert_eq!(router.len(), 2);
    assert_eq!(chosen_share(&mut router, &mut cx, 100, "a"), 0.0);
    router.remove(&"b".into());
    assert_eq!(chosen_share(&mut router, &mut cx, 100, "a"), 1.0);
}

/// Guards against memory that grows with every replaced instance.
#[test]
fn removed_servers_and_instances_are_forgotten() {
    let (mut cx, mut router) = (cx(), router());
    for n in 0..1_000 {
        let server = format!("s{n}");
        router.upsert(&mut cx, endpoint(&server, "d1"));
        router.on_path_failure(&mut cx, &format!("i-{server}").into(), &server.as_str().into());
        router.remove(&server.as_str().into());
    }
    assert_eq!((router.entries.len(), router.paths.len()), (1, 1));
    router.upsert(&mut cx, endpoint("a", "d1"));
    assert_eq!(chosen_share(&mut router, &mut cx, 100, "a"), 1.0);
}

/// Guards against loads that are NaN because the half-life of load or the slow start is zero.
#[test]
fn zero_durations_still_prefer_the_idle_server() {
    let mut cx = cx();
    let mut cfg = crate::route::RouterConfig::new("i".into(), "d1".into(), "r1".into());
    cfg.load_half_life = std::time::Duration::ZERO;
    cfg.slow_start = std::time::Duration::ZERO;
    let mut router = Router::new(cfg);
    for (server, busy) in [("a", 9), ("b", 0)] {
        let phase = crate::base::Phase::Cold;
        router.upsert(&mut cx, Endpoint { phase, ..endpoint(server, "d1") });
        router.on_answer(&mut cx, &server.into(), answer_with_load(busy, 0));
    }
    let share = chosen_share(&mut router, &mut cx, 1_000, "b");
    assert!(share > 0.8, "{share}");
}
