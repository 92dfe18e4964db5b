use crate::support::{LIMITS, controller_with_server, ms, slot_request};
use fescuemux_core::placement::{
    Admission, AttemptKind, RequestOutcome, RetryLimits, ServiceRetryBudget, SlotRefusalReason,
    SlotRequest,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The users' limit must hold for the whole fleet in any window, although each instance counts only
/// its own requests.
#[test]
fn fleet_retries_stay_within_the_limit() {
    struct Case {
        instance_count: usize,
        requests_per_s: u64,
        nested: bool,
    }
    let cases = [
        Case { instance_count: 9, requests_per_s: 4, nested: true },
        Case { instance_count: 6, requests_per_s: 0, nested: true },
        Case { instance_count: 41, requests_per_s: 4, nested: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut budgets: Vec<_> =
            (0..case.instance_count).map(|_| ServiceRetryBudget::new(start, LIMITS)).collect();
        let mut retry_times: Vec<u64> = Vec::new();
        for step in 0..3_000_u64 {
            let now = start + ms(step * 10);
            for budget in &mut budgets {
                budget.set_instance_count(now, case.instance_count);
                if case.requests_per_s > 0 && step % (100 / case.requests_per_s) == 0 {
                    budget.on_first_attempt(now);
                }
                if budget.allows(now, AttemptKind::Retry, case.nested, 0) {
                    budget.on_retry(now);
                    retry_times.push(step * 10);
                }
            }
        }
        let requests = case.instance_count as f64 * case.requests_per_s as f64 * 10.0;
        let bound = LIMITS.ratio * requests + LIMITS.slack;
        let max_retries = (0..20_000)
            .step_by(100)
            .map(|from| retry_times.iter().filter(|at| (from..from + 10_000).contains(*at)).count())
            .max();
        let max_retries = max_retries.unwrap_or_default() as f64;
        assert!(
            max_retries <= bound,
            "{} instances: {max_retries} retries, bound {bound}",
            case.instance_count
        );
    }
}

/// Top-level retries must leave a part of the budget to nested retries.
#[test]
fn nested_retries_may_use_more_of_the_budget() {
    let start = Instant::now();
    let mut budget = ServiceRetryBudget::new(start, LIMITS);
    budget.set_instance_count(start, 6);
    let now = start + LIMITS.window;
    while budget.allows(now, AttemptKind::Retry, false, 0) {
        budget.on_retry(now);
    }
    assert!(budget.allows(now, AttemptKind::Retry, true, 0));
}

proptest! {
    /// No sequence of requests and pauses may let an instance exceed its share in any window.
    #[test]
    fn an_instance_stays_within_its_share(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let limits = RetryLimits { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budget = ServiceRetryBudget::new(start, limits);
        budget.set_instance_count(start, 2);
        let mut at_ms = 10_000;
        let (mut request_times, mut retry_times) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            at_ms += pause;
            let now = start + ms(at_ms);
            if is_request {
                budget.on_first_attempt(now);
                request_times.push(at_ms);
            } else if budget.allows(now, AttemptKind::Retry, true, 0) {
                budget.on_retry(now);
                retry_times.push(at_ms);
            }
        }
        for end in &retry_times {
            let count_within = |times: &[u64], span: u64| {
                times.iter().filter(|at| **at <= *end && **at + span > *end).count() as f64
            };
            // The budget counts first attempts of one more bucket than the window has.
            let bound = 0.2 * count_within(&request_times, 11_000) + 5.0;
            prop_assert!(count_within(&retry_times, 10_000) <= bound);
        }
    }
}

/// A retried request repeats its nested requests. Each of them is a first attempt, but an
/// additional arrival at its own service, so it must count against that service's budget and be
/// refused once the whole budget is used.
#[test]
fn nested_requests_of_retries_use_the_budget() {
    struct Case {
        name: &'static str,
        attempt: AttemptKind,
        granted: std::ops::RangeInclusive<u64>,
        retry_refused: bool,
    }
    let cases = [
        Case {
            name: "nested in a first attempt",
            attempt: AttemptKind::First,
            granted: 100..=100,
            retry_refused: false,
        },
        Case {
            name: "nested in a retry",
            attempt: AttemptKind::NestedInRetry,
            granted: 50..=58,
            retry_refused: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut controller = controller_with_server(start);
        controller.set_instance_count(start, 1);
        let now = start + LIMITS.window;
        let is_refused = |admission| {
            matches!(
                admission,
                Admission::Refused(refusal) if refusal.reason == SlotRefusalReason::RetryBudget
            )
        };
        let mut granted = 0;
        for ticket in 0..100 {
            let nested = SlotRequest { nested: true, attempt: case.attempt, ..slot_request(now) };
            match controller.request_slot(now, ticket, nested) {
                Admission::Granted => {
                    granted += 1;
                    assert!(controller.start(now, ticket), "{}", case.name);
                    controller.finish(now, ticket, RequestOutcome::Answered);
                }
                other => assert!(is_refused(other), "{}: {other:?}", case.name),
            }
        }
        assert!(case.granted.contains(&granted), "{}: {granted} granted", case.name);
        let retry = SlotRequest { nested: true, attempt: AttemptKind::Retry, ..slot_request(now) };
        let refused = is_refused(controller.request_slot(now, 200, retry));
        assert_eq!(refused, case.retry_refused, "{}", case.name);
    }
}
