//! Property test of the retry budget with random sequences of requests, failures and waits.

use crate::base::{Cx, Verdict};
use crate::retry::{Attempt, RetryBudget, RetryConfig, RetryDecision};
use proptest::prelude::{Strategy, TestCaseError, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
enum Event {
    Requests { n: u32 },
    Failures { n: u32 },
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1..200u32).prop_map(|n| Event::Requests { n }),
        (1..200u32).prop_map(|n| Event::Failures { n }),
        (0..20_000u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Interface of the budgets under test; `fails` returns whether the request is retried.
trait Budget {
    fn request(&mut self, cx: &mut Cx);
    fn fails(&mut self, cx: &mut Cx) -> bool;
}

impl Budget for RetryBudget {
    fn request(&mut self, cx: &mut Cx) {
        self.on_request(cx);
    }

    fn fails(&mut self, cx: &mut Cx) -> bool {
        let attempt = Attempt {
            verdict: Verdict::NotRun,
            previous_verdict: Verdict::NotRun,
            idempotent: true,
            body_replayable: true,
            time_to_deadline: Duration::from_secs(1),
            expected_latency: Duration::ZERO,
            attempts: 1,
            retry_after: None,
        };
        matches!(self.decide(cx, &attempt), RetryDecision::Retry { .. })
    }
}

/// Allows every retry.
struct Unlimited;

impl Budget for Unlimited {
    fn request(&mut self, _cx: &mut Cx) {}

    fn fails(&mut self, _cx: &mut Cx) -> bool {
        true
    }
}

/// Allows no retry.
struct Never;

impl Budget for Never {
    fn request(&mut self, _cx: &mut Cx) {}

    fn fails(&mut self, _cx: &mut Cx) -> bool {
        false
    }
}

fn replay(budget: &mut impl Budget, cfg: &RetryConfig, events: &[Event]) -> Result<(), String> {
    let mut cx = Cx::new(Instant::now(), 1);
    let start = cx.now;
    let (mut requests, mut retries) = (0.0, 0.0);
    for event in events {
        match *event {
            Event::Requests { n } => (0..n).for_each(|_| {
                requests += 1.0;
                budget.request(&mut cx);
            }),
            Event::Failures { n } => (0..n).for_each(|_| {
                retries += f64::from(u8::from(budget.fails(&mut cx)));
            }),
            Event::Wait { ms } => cx.now += Duration::from_millis(ms),
        }
        let min_rate_tokens = cfg.min_rate * (cx.now - start).as_secs_f64();
        let bound = cfg.min_burst + cfg.ratio * requests + min_rate_tokens;
        if retries > bound {
            return Err(format!("{retries} retries of {requests} requests, bound {bound}"));
        }
    }
    // Without further requests, the minimum rate refills the budget, so the next failure is
    // retried.
    cx.now += Duration::from_secs_f64((cfg.min_burst + 1.0) / cfg.min_rate);
    match (0..100).any(|_| budget.fails(&mut cx)) {
        true => Ok(()),
        false => Err("the budget is not refilled at the minimum rate".into()),
    }
}

fn check<B: Budget>(new: impl Fn(&RetryConfig) -> B) -> Result<(), String> {
    let cfg = RetryConfig::default();
    let events = proptest::collection::vec(event(), 1..60);
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&events, |events| replay(&mut new(&cfg), &cfg, &events).map_err(TestCaseError::fail))
        .map_err(|error| error.to_string())
}

#[test]
fn retries_stay_within_the_budget() {
    assert_eq!(check(|cfg| RetryBudget::new(cfg.clone(), Instant::now())), Ok(()));
}

#[test]
fn the_check_catches_broken_budgets() {
    assert!(check(|_| Unlimited).is_err());
    assert!(check(|_| Never).is_err());
}
