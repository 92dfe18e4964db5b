//! Rate limits of callers in a bounded table.

use crate::admit::{
    CallerDecision, CallerDemand, CallerDemandAggregator, CallerRateLimit, CallerRateLimiter,
    CallerRateLimiterConfig,
};
use crate::base::Cx;
use std::time::{Duration, Instant};

fn count_admitted(limiter: &mut CallerRateLimiter, cx: &mut Cx, caller: &str, n: usize) -> usize {
    let caller = caller.into();
    (0..n).filter(|_| limiter.admit(cx, &caller) == CallerDecision::Admitted).count()
}

fn new_limiter(cx: &Cx, max_callers: usize) -> CallerRateLimiter {
    let shared_limit = CallerRateLimit { rate: 1.0, burst: 3.0 };
    let cfg = CallerRateLimiterConfig {
        max_callers,
        shared_limit,
        min_burst: 1.0,
        ..CallerRateLimiterConfig::default()
    };
    CallerRateLimiter::new(cfg, cx.now)
}

struct Case {
    name: &'static str,
    share: f64,
    wait: Duration,
    /// Number admitted of 100 requests at once, then of 100 after the wait.
    expected: (usize, usize),
}

const CASES: &[Case] = &[
    Case { name: "whole limit", share: 1.0, wait: Duration::from_secs(1), expected: (20, 10) },
    Case { name: "a tenth", share: 0.1, wait: Duration::from_secs(1), expected: (2, 1) },
    Case { name: "tiny share", share: 0.001, wait: Duration::from_secs(1), expected: (1, 0) },
    Case { name: "long wait", share: 1.0, wait: Duration::from_secs(100), expected: (20, 20) },
];

#[test]
fn burst_and_rate_follow_the_share() {
    for case in CASES {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut limiter = new_limiter(&cx, 8);
        let caller = "a".into();
        limiter.set(&mut cx, &caller, CallerRateLimit { rate: 10.0, burst: 20.0 });
        limiter.set_share(&mut cx, &caller, case.share);
        let first = count_admitted(&mut limiter, &mut cx, "a", 100);
        cx.now += case.wait;
        let second = count_admitted(&mut limiter, &mut cx, "a", 100);
        assert_eq!((first, second), case.expected, "{}", case.name);
    }
}

/// Guards against a refused caller that still gets the minimum burst, initially or after a change.
#[test]
fn a_rate_of_zero_refuses_the_caller() {
    let refused = CallerRateLimit { rate: 0.0, burst: 0.0 };
    for first_limit in [refused, CallerRateLimit { rate: 10.0, burst: 20.0 }] {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut limiter = new_limiter(&cx, 8);
        limiter.set(&mut cx, &"a".into(), first_limit);
        limiter.set(&mut cx, &"a".into(), refused);
        cx.now += Duration::from_secs(100);
        assert_eq!(count_admitted(&mut limiter, &mut cx, "a", 10), 0);
    }
}

/// Guards against memory that grows with the caller names that clients invent.
#[test]
fn unknown_callers_share_a_bucket() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut limiter = new_limiter(&cx, 8);
    let total: usize =
        (0..1_000).map(|n| count_admitted(&mut limiter, &mut cx, &format!("x{n}"), 1)).sum();
    assert_eq!((total, limiter.len()), (3, 0));
}

/// Guards against a configuration with more callers than the table can hold.
#[test]
fn the_table_is_bounded() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut limiter = new_limiter(&cx, 8);
    let limit = CallerRateLimit { rate: 10.0, burst: 20.0 };
    let accepted = (0..20).filter(|n| limiter.set(&mut cx, &format!("c{n}").into(), limit)).count();
    assert_eq!((accepted, limiter.len()), (8, 8));
    limiter.remove(&"c0".into());
    assert!(limiter.set(&mut cx, &"c19".into(), limit));
}

/// Guards against a caller that gets its whole limit at each daemon, or loses the share of daemons
/// that it does not use.
#[test]
fn daemons_divide_a_limit_by_demand() {
    for daemons in [1, 5] {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut aggregator = CallerDemandAggregator::new(8);
        let mut limiters: Vec<_> = (0..daemons).map(|_| new_limiter(&cx, 8)).collect();
        let limit = CallerRateLimit { rate: 100.0, burst: 100.0 };
        limiters.iter_mut().for_each(|limiter| assert!(limiter.set(&mut cx, &"a".into(), limit)));
        let mut admitted_late = 0;
        for second in 0..40 {
            cx.now += Duration::from_secs(1);
            for (n, limiter) in limiters.iter_mut().enumerate() {
                let admitted = count_admitted(limiter, &mut cx, "a", 200 / daemons);
                admitted_late += if second >= 20 { admitted } else { 0 };
                for demand in limiter.demand_reports(&mut cx, 540) {
                    let from = format!("i{n}").into();
                    let fleet = aggregator.on_report(&mut cx, &from, &demand).expect("room");
                    limiter.set_fleet_demand(&mut cx, &demand.caller, fleet);
                }
            }
        }
        assert!(
            (1_900..=2_100).contains(&admitted_late),
            "{daemons} daemons: {admitted_late} in 20 s"
        );
    }
}

/// Guards against reports of daemons that left, and against an unbounded table.
#[test]
fn aggregators_expire_old_reports() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut aggregator = CallerDemandAggregator::new(1);
    let demand_of = |caller: &str| CallerDemand { caller: caller.into(), rate: 10.0 };
    assert_eq!(aggregator.on_report(&mut cx, &"i1".into(), &demand_of("a")), Some(10.0));
    assert_eq!(aggregator.on_report(&mut cx, &"i2".into(), &demand_of("a")), Some(20.0));
    assert_eq!(aggregator.on_report(&mut cx, &"i1".into(), &demand_of("b")), None);
    cx.now += Duration::from_secs(5);
    assert_eq!(aggregator.on_report(&mut cx, &"i1".into(), &demand_of("a")), Some(10.0));
    cx.now += Duration::from_secs(5);
    assert_eq!(aggregator.on_report(&mut cx, &"i1".into(), &demand_of("b")), Some(10.0));
    assert_eq!(aggregator.len(), 1);
}
