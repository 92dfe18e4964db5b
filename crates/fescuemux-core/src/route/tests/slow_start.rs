//! Slow start: cold and recovered servers take a growing share of requests.

use super::support::{chosen_share, cx, endpoint, router};
use crate::base::{Cx, Phase};
use crate::route::{Router, ServerHealth};
use std::time::Duration;

struct Case {
    name: &'static str,
    prepare: fn(&mut Router, &mut Cx),
    /// Time between `prepare` and the requests.
    age: Duration,
    /// Bounds of the share of requests that server `a` gets beside one warm server.
    share_bounds: (f64, f64),
}

fn cold(router: &mut Router, cx: &mut Cx) {
    router.upsert(cx, crate::route::Endpoint { phase: Phase::Cold, ..endpoint("a", "d1") });
}

fn returned(router: &mut Router, cx: &mut Cx) {
    for health in [ServerHealth::Probation, ServerHealth::Serving] {
        router.upsert(cx, crate::route::Endpoint { health, ..endpoint("a", "d1") });
    }
}

fn warm(router: &mut Router, cx: &mut Cx) {
    router.upsert(cx, endpoint("a", "d1"));
}

const CASES: &[Case] = &[
    Case { name: "cold", prepare: cold, age: Duration::ZERO, share_bounds: (0.0, 0.2) },
    Case {
        name: "cold, half way",
        prepare: cold,
        age: Duration::from_secs(5),
        share_bounds: (0.2, 0.45),
    },
    Case {
        name: "cold, done",
        prepare: cold,
        age: Duration::from_secs(10),
        share_bounds: (0.45, 0.55),
    },
    Case { name: "returned", prepare: returned, age: Duration::ZERO, share_bounds: (0.0, 0.2) },
    Case {
        name: "returned, done",
        prepare: returned,
        age: Duration::from_secs(10),
        share_bounds: (0.45, 0.55),
    },
    Case { name: "ready at once", prepare: warm, age: Duration::ZERO, share_bounds: (0.45, 0.55) },
];

#[test]
fn share_grows_with_age() {
    for case in CASES {
        let (mut cx, mut router) = (cx(), router());
        router.upsert(&mut cx, endpoint("b", "d1"));
        (case.prepare)(&mut router, &mut cx);
        cx.now += case.age;
        let share = chosen_share(&mut router, &mut cx, 4_000, "a");
        let (low, high) = case.share_bounds;
        assert!(low <= share && share <= high, "{}: {share}", case.name);
    }
}
