use crate::support::{LIMITS, ms};
use fescuemux_core::placement::{RepeatBudget, RepeatLimits};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The users' bound holds for the whole fleet in any window, whatever the guards see.
#[test]
fn the_fleet_stays_within_the_bound() {
    struct Case {
        guards: usize,
        requests_per_s: u64,
        nested: bool,
    }
    let cases = [
        Case { guards: 9, requests_per_s: 4, nested: true },
        Case { guards: 6, requests_per_s: 0, nested: true },
        Case { guards: 41, requests_per_s: 4, nested: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut fleet: Vec<_> =
            (0..case.guards).map(|_| RepeatBudget::new(start, LIMITS)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for step in 0..3_000_u64 {
            let now = start + ms(step * 10);
            for budget in &mut fleet {
                if case.requests_per_s > 0 && step % (100 / case.requests_per_s) == 0 {
                    budget.on_request(now);
                }
                if budget.allows(now, case.guards, case.nested) {
                    budget.on_repeat(now);
                    repeats.push(step * 10);
                }
            }
        }
        let requests = case.guards as f64 * case.requests_per_s as f64 * 10.0;
        let bound = LIMITS.ratio * requests + LIMITS.slack;
        let most = (0..20_000)
            .step_by(100)
            .map(|from| repeats.iter().filter(|at| (from..from + 10_000).contains(*at)).count())
            .max();
        let most = most.unwrap_or_default() as f64;
        assert!(most <= bound, "{} guards: {most} repeats, bound {bound}", case.guards);
    }
}

/// Calls of running work keep a part of the budget that others leave.
#[test]
fn nested_repeats_go_further() {
    let now = Instant::now();
    let mut budget = RepeatBudget::new(now, LIMITS);
    while budget.allows(now, 6, false) {
        budget.on_repeat(now);
    }
    assert!(budget.allows(now, 6, true));
}

proptest! {
    /// No order of requests and pauses lets one guard exceed its part in any window.
    #[test]
    fn a_guard_stays_within_its_part(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let limits = RepeatLimits { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budget = RepeatBudget::new(start, limits);
        let mut at = 0;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            at += pause;
            let now = start + ms(at);
            if is_request {
                budget.on_request(now);
                requests.push(at);
            } else if budget.allows(now, 2, true) {
                budget.on_repeat(now);
                repeats.push(at);
            }
        }
        for end in &repeats {
            let within = |times: &[u64], span: u64| {
                times.iter().filter(|at| **at <= *end && **at + span > *end).count() as f64
            };
            // The budget counts requests over one part of the window more.
            let bound = 0.2 * within(&requests, 11_000) + 5.0;
            prop_assert!(within(&repeats, 10_000) <= bound);
        }
    }
}
