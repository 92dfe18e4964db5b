//! Retry decisions by verdict, route, body, deadline and number of attempts.

use crate::base::{Cx, Verdict};
use crate::retry::{
    Attempt, GiveUpReason, LatencyHistogram, RetryBudget, RetryConfig, RetryDecision,
};
use GiveUpReason::{
    BodyConsumed, BudgetExhausted, DeadlineTooClose, MaxAttemptsReached, MayHaveRun,
};
use std::time::{Duration, Instant};

const RETRYABLE: Attempt = Attempt {
    verdict: Verdict::NotRun,
    previous_verdict: Verdict::NotRun,
    idempotent: false,
    body_replayable: true,
    time_to_deadline: Duration::from_secs(1),
    expected_latency: Duration::from_millis(25),
    attempts: 1,
    retry_after: None,
};

struct Case {
    name: &'static str,
    attempt: Attempt,
    give_up: Option<(Verdict, GiveUpReason)>,
}

const CASES: &[Case] = &[
    Case { name: "not run", attempt: RETRYABLE, give_up: None },
    Case {
        name: "may have run, not idempotent",
        attempt: Attempt { verdict: Verdict::MayHaveRun, ..RETRYABLE },
        give_up: Some((Verdict::MayHaveRun, MayHaveRun)),
    },
    Case {
        name: "a previous attempt may have run, not idempotent",
        attempt: Attempt { previous_verdict: Verdict::MayHaveRun, attempts: 2, ..RETRYABLE },
        give_up: Some((Verdict::MayHaveRun, MayHaveRun)),
    },
    Case {
        name: "ran, not idempotent",
        attempt: Attempt { verdict: Verdict::Ran, ..RETRYABLE },
        give_up: Some((Verdict::Ran, MayHaveRun)),
    },
    Case {
        name: "may have run, idempotent",
        attempt: Attempt { verdict: Verdict::MayHaveRun, idempotent: true, ..RETRYABLE },
        give_up: None,
    },
    Case {
        name: "body consumed",
        attempt: Attempt { body_replayable: false, ..RETRYABLE },
        give_up: Some((Verdict::NotRun, BodyConsumed)),
    },
    Case {
        name: "deadline too close",
        attempt: Attempt { time_to_deadline: Duration::from_millis(20), ..RETRYABLE },
        give_up: Some((Verdict::NotRun, DeadlineTooClose)),
    },
    Case {
        name: "the instance asks for a wait beyond the deadline",
        attempt: Attempt { retry_after: Some(Duration::from_secs(1)), ..RETRYABLE },
        give_up: Some((Verdict::NotRun, DeadlineTooClose)),
    },
    Case {
        name: "no attempts left",
        attempt: Attempt {
            attempts: 3,
            idempotent: true,
            previous_verdict: Verdict::MayHaveRun,
            ..RETRYABLE
        },
        give_up: Some((Verdict::MayHaveRun, MaxAttemptsReached)),
    },
];

fn full_budget(cx: &Cx) -> RetryBudget {
    RetryBudget::new(RetryConfig { min_burst: 100.0, ..RetryConfig::default() }, cx.now)
}

#[test]
fn decides_by_attempt() {
    for case in CASES {
        let mut cx = Cx::new(Instant::now(), 1);
        let decision = full_budget(&cx).decide(&mut cx, &case.attempt);
        let give_up = match decision {
            RetryDecision::Retry { .. } => None,
            RetryDecision::GiveUp { verdict, reason } => Some((verdict, reason)),
        };
        assert_eq!(give_up, case.give_up, "{}", case.name);
    }
}

/// Guards against a budget that is charged although the retry is refused for another reason.
#[test]
fn only_retries_and_hedges_cost_budget() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut budget = full_budget(&cx);
    for case in CASES {
        let before = budget.tokens();
        budget.decide(&mut cx, &case.attempt);
        let cost = before - budget.tokens();
        assert_eq!(cost > 0.5, case.give_up.is_none(), "{}", case.name);
    }
}

#[test]
fn an_empty_budget_gives_up() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut budget =
        RetryBudget::new(RetryConfig { min_burst: 0.0, ..RetryConfig::default() }, cx.now);
    let expected = RetryDecision::GiveUp { verdict: Verdict::NotRun, reason: BudgetExhausted };
    assert_eq!(budget.decide(&mut cx, &RETRYABLE), expected);
}

/// Guards against a service without retries that still gets the burst or the minimum rate.
#[test]
fn a_ratio_of_zero_permits_no_retry() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut budget = RetryBudget::new(RetryConfig { ratio: 0.0, ..RetryConfig::default() }, cx.now);
    let expected = RetryDecision::GiveUp { verdict: Verdict::NotRun, reason: BudgetExhausted };
    for _ in 0..100 {
        budget.on_request(&mut cx);
        cx.now += Duration::from_secs(10);
        assert_eq!(budget.decide(&mut cx, &RETRYABLE), expected);
    }
}

#[test]
fn hedges_only_idempotent_requests() {
    for idempotent in [true, false] {
        let mut cx = Cx::new(Instant::now(), 1);
        let attempt = Attempt { verdict: Verdict::MayHaveRun, idempotent, ..RETRYABLE };
        assert_eq!(full_budget(&cx).try_hedge(&mut cx, &attempt), idempotent);
    }
}

/// Guards against a quantile that is off by more than a bucket, or that never forgets a slow
/// period.
#[test]
fn quantile_of_recent_latencies() {
    let mut histogram = LatencyHistogram::default();
    assert_eq!(histogram.quantile(0.95), None);
    for _ in 0..2_000 {
        histogram.record(Duration::from_secs(1));
    }
    for _ in 0..200 {
        (1..=100).for_each(|ms| histogram.record(Duration::from_millis(ms)));
    }
    let p95 = histogram.quantile(0.95).expect("enough latencies recorded").as_secs_f64();
    assert!((0.095..0.095 * 1.1).contains(&p95), "{p95}");
}
