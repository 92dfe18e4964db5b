use crate::support::{LIMITS, ms, open_gate, work};
use fescuemux_core::placement::{
    Admission, AttemptKind, RefusalReason, RequestOutcome, RetryLimits, ServiceRetryBudget,
    SlotRequest,
};
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
            (0..case.guards).map(|_| ServiceRetryBudget::new(start, LIMITS)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for step in 0..3_000_u64 {
            let now = start + ms(step * 10);
            for budget in &mut fleet {
                if case.requests_per_s > 0 && step % (100 / case.requests_per_s) == 0 {
                    budget.on_first_attempt(now);
                }
                if budget.allows_retry(now, case.guards, case.nested) {
                    budget.on_retry(now);
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
    let mut budget = ServiceRetryBudget::new(now, LIMITS);
    while budget.allows_retry(now, 6, false) {
        budget.on_retry(now);
    }
    assert!(budget.allows_retry(now, 6, true));
}

proptest! {
    /// No order of requests and pauses lets one guard exceed its part in any window.
    #[test]
    fn a_guard_stays_within_its_part(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let limits = RetryLimits { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budget = ServiceRetryBudget::new(start, limits);
        let mut at = 0;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            at += pause;
            let now = start + ms(at);
            if is_request {
                budget.on_first_attempt(now);
                requests.push(at);
            } else if budget.allows_retry(now, 2, true) {
                budget.on_retry(now);
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

/// A request that is repeated makes its calls again. Each is a first attempt of its own, but an
/// arrival too many at the service that it calls, so it must count there.
#[test]
fn calls_of_repeats_use_the_budget() {
    struct Case {
        name: &'static str,
        calls: AttemptKind,
        refused: bool,
    }
    let cases = [
        Case { name: "calls of first attempts", calls: AttemptKind::First, refused: false },
        Case { name: "calls of repeats", calls: AttemptKind::NestedInRetry, refused: true },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        for ticket in 0..100 {
            let call = SlotRequest { nested: true, attempt: case.calls, ..work(now) };
            assert_eq!(gate.request_slot(now, ticket, call), Admission::Granted, "{}", case.name);
            assert!(gate.start(now, ticket), "{}", case.name);
            gate.finish(now, ticket, RequestOutcome::Answered);
        }
        let again = SlotRequest { nested: true, attempt: AttemptKind::Retry, ..work(now) };
        let refused = matches!(
            gate.request_slot(now, 200, again),
            Admission::Refused(refusal) if refusal.reason == RefusalReason::RetryBudget
        );
        assert_eq!(refused, case.refused, "{}", case.name);
    }
}
