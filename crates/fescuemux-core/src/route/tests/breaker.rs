//! Circuit breakers: path failures do not affect server health, and one trial at a time decides
//! whether a path is used again.

use super::support::{answer_with_load, choose, chosen_share, cx, endpoint, router};
use crate::base::Cx;
use crate::route::{BreakerState, Router, ServerHealth};
use std::time::Duration;

fn fail(router: &mut Router, cx: &mut Cx, server: &str, n: usize) {
    for _ in 0..n {
        router.on_path_failure(cx, &format!("i-{server}").into(), &server.into());
    }
}

/// Guards against path failures that change the health of a server, and against requests on an open
/// path.
#[test]
fn an_open_path_gets_no_requests_and_keeps_server_health() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("a", "d1"));
    router.upsert(&mut cx, endpoint("b", "d1"));
    fail(&mut router, &mut cx, "a", 3);
    assert_eq!(chosen_share(&mut router, &mut cx, 100, "a"), 0.0);
    assert_eq!(router.health(&"a".into()), Some(ServerHealth::Serving));
}

/// Guards against a breaker that opens on isolated failures among successful requests.
#[test]
fn rare_failures_do_not_open_the_path() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("a", "d1"));
    for _ in 0..50 {
        fail(&mut router, &mut cx, "a", 1);
        router.on_answer(&mut cx, &"a".into(), answer_with_load(0, 0));
        router.on_answer(&mut cx, &"a".into(), answer_with_load(0, 0));
    }
    assert_eq!(router.path_state(&"i-a".into()), Some(BreakerState::Closed));
}

struct TrialCase {
    name: &'static str,
    idempotent: bool,
    wait: Duration,
    expect_trial: bool,
}

const TRIAL_CASES: &[TrialCase] = &[
    TrialCase {
        name: "still open",
        idempotent: true,
        wait: Duration::from_millis(300),
        expect_trial: false,
    },
    TrialCase {
        name: "half-open, idempotent",
        idempotent: true,
        wait: Duration::from_secs(2),
        expect_trial: true,
    },
    TrialCase {
        name: "half-open, not idempotent",
        idempotent: false,
        wait: Duration::from_secs(2),
        expect_trial: false,
    },
    TrialCase {
        name: "half-open for long, not idempotent",
        idempotent: false,
        wait: Duration::from_secs(20),
        expect_trial: true,
    },
];

#[test]
fn a_half_open_path_gets_one_trial() {
    for case in TRIAL_CASES {
        let (mut cx, mut router) = (cx(), router());
        router.upsert(&mut cx, endpoint("a", "d1"));
        router.upsert(&mut cx, endpoint("b", "d1"));
        fail(&mut router, &mut cx, "a", 3);
        cx.now += Duration::from_millis(1_500).min(case.wait);
        choose(&mut router, &mut cx, false);
        cx.now += case.wait.saturating_sub(Duration::from_millis(1_500));
        let trials = (0..200).filter_map(|_| choose(&mut router, &mut cx, case.idempotent));
        let trials = trials.filter(|c| c.path_trial && c.server == "a").count();
        assert_eq!(trials, usize::from(case.expect_trial), "{}", case.name);
    }
}

/// Guards against an ingress with few requests that spends all of them on trials of broken paths.
#[test]
fn path_trials_take_a_small_share() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("ready", "d1"));
    for n in 0..100 {
        router.upsert(&mut cx, endpoint(&format!("s{n}"), "d1"));
        fail(&mut router, &mut cx, &format!("s{n}"), 3);
    }
    cx.now += Duration::from_secs(2);
    assert!(chosen_share(&mut router, &mut cx, 100, "ready") > 0.8);
}

/// Guards against path failures of an old incarnation that keep a restarted instance without
/// requests.
#[test]
fn a_new_incarnation_closes_the_breaker() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("a", "d1"));
    fail(&mut router, &mut cx, "a", 3);
    router.upsert(&mut cx, crate::route::Endpoint { incarnation: 2, ..endpoint("a", "d1") });
    assert_eq!(router.path_state(&"i-a".into()), Some(BreakerState::Closed));
}

/// Guards against a repaired path that stays unused, and against a path that is used again
/// although its trial failed.
#[test]
fn a_trial_closes_or_reopens_the_breaker() {
    for repaired in [true, false] {
        let (mut cx, mut router) = (cx(), router());
        router.upsert(&mut cx, endpoint("a", "d1"));
        router.upsert(&mut cx, endpoint("b", "d1"));
        fail(&mut router, &mut cx, "a", 3);
        cx.now += Duration::from_secs(2);
        let mut choices = (0..200).filter_map(|_| choose(&mut router, &mut cx, true));
        let trial = choices.find(|c| c.path_trial).expect("a trial");
        router.on_sent(&mut cx, &trial);
        match repaired {
            true => router.on_answer(&mut cx, &"a".into(), answer_with_load(0, 0)),
            false => fail(&mut router, &mut cx, "a", 1),
        }
        assert_eq!(chosen_share(&mut router, &mut cx, 200, "a") > 0.3, repaired);
    }
}

/// Guards against a trial without a result, for example of a caller that left, that blocks the path
/// forever.
#[test]
fn a_trial_without_a_result_is_repeated() {
    let (mut cx, mut router) = (cx(), router());
    router.upsert(&mut cx, endpoint("a", "d1"));
    router.upsert(&mut cx, endpoint("b", "d1"));
    fail(&mut router, &mut cx, "a", 3);
    for wait in [2, 31] {
        cx.now += Duration::from_secs(wait);
        // A path trial is a request here and a path probe below; both can end without a result.
        let trials = (0..200).filter_map(|_| choose(&mut router, &mut cx, true));
        assert_eq!(trials.filter(|c| c.path_trial).count(), 1, "after {wait} s");
    }
    cx.now += Duration::from_secs(31);
    assert_eq!(router.next_path_probe(&mut cx), Some("i-a".into()));
    assert_eq!(router.next_path_probe(&mut cx), None);
    cx.now += Duration::from_secs(31);
    assert_eq!(router.next_path_probe(&mut cx), Some("i-a".into()));
}

/// Guards against an ingress that refuses every request after a fault of its own link opened
/// all paths.
#[test]
fn requests_are_spread_when_all_paths_are_open() {
    let (mut cx, mut router) = (cx(), router());
    for server in ["a", "b", "c"] {
        router.upsert(&mut cx, endpoint(server, "d1"));
        fail(&mut router, &mut cx, server, 3);
    }
    for server in ["a", "b", "c"] {
        assert!(chosen_share(&mut router, &mut cx, 300, server) > 0.2, "{server}");
    }
}

/// Guards against a burst of probes when a partition between regions opens hundreds of paths at
/// once.
#[test]
fn path_probes_are_rate_limited() {
    let (mut cx, mut router) = (cx(), router());
    for n in 0..300 {
        router.upsert(&mut cx, endpoint(&format!("s{n}"), "d1"));
        fail(&mut router, &mut cx, &format!("s{n}"), 3);
    }
    let mut probes = 0;
    for _ in 0..100 {
        cx.now += Duration::from_millis(100);
        while let Some(instance) = router.next_path_probe(&mut cx) {
            router.on_path_probe(&mut cx, &instance, false);
            probes += 1;
        }
    }
    assert!((90..=100).contains(&probes), "{probes} probes in 10 s");
}
