//! The adaptive limit follows a server that degrades and recovers.

use crate::admit::{AdaptiveLimit, AdaptiveLimitConfig, LimitSample};
use crate::base::Cx;
use rand::Rng;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    latency_ms: u64,
    overloaded: bool,
    /// Requests in flight at each sample; `None` for as many as the limit allows.
    in_flight: Option<u32>,
    samples: u32,
    expected_limit: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "healthy",
        latency_ms: 25,
        overloaded: false,
        in_flight: None,
        samples: 100,
        expected_limit: 4,
    },
    Case {
        name: "slow",
        latency_ms: 125,
        overloaded: false,
        in_flight: None,
        samples: 100,
        expected_limit: 1,
    },
    Case {
        name: "sheds load",
        latency_ms: 5,
        overloaded: true,
        in_flight: None,
        samples: 100,
        expected_limit: 1,
    },
    Case {
        name: "a few slow requests",
        latency_ms: 125,
        overloaded: false,
        in_flight: None,
        samples: 8,
        expected_limit: 4,
    },
    Case {
        name: "one slow period counts once",
        latency_ms: 125,
        overloaded: false,
        in_flight: None,
        samples: 20,
        expected_limit: 3,
    },
];

const STEP: Duration = Duration::from_millis(50);

fn feed(limit: &mut AdaptiveLimit, cx: &mut Cx, case: &Case) {
    for _ in 0..case.samples {
        cx.now += STEP;
        let in_flight = case.in_flight.unwrap_or(limit.limit());
        let latency = Duration::from_millis(case.latency_ms);
        let baseline = Duration::from_millis(25);
        let sample = LimitSample { latency, baseline, in_flight, overloaded: case.overloaded };
        limit.on_sample(cx, &sample);
    }
}

#[test]
fn follows_the_server() {
    for case in CASES {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut limit = AdaptiveLimit::new(AdaptiveLimitConfig::new(4));
        feed(&mut limit, &mut cx, case);
        assert_eq!(limit.limit(), case.expected_limit, "{}", case.name);
    }
}

/// Guards against a limit that stays low after recovery, or rises while the server does not use it
/// fully.
#[test]
fn rises_only_when_used() {
    for (in_flight, expected_limit) in [(None, 4), (Some(0), 1)] {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut limit = AdaptiveLimit::new(AdaptiveLimitConfig::new(4));
        feed(&mut limit, &mut cx, &CASES[1]);
        feed(&mut limit, &mut cx, &Case { in_flight, samples: 400, ..CASES[0] });
        assert_eq!(limit.limit(), expected_limit);
    }
}

/// Guards against a limit that falls on a healthy server whose service times vary.
#[test]
fn stays_up_under_exponential_service_times() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut limit = AdaptiveLimit::new(AdaptiveLimitConfig::new(4));
    for _ in 0..10_000 {
        cx.now += STEP;
        let uniform: f64 = cx.rng.random_range(f64::MIN_POSITIVE..1.0);
        let latency = Duration::from_millis(25).mul_f64(-uniform.ln());
        let baseline = Duration::from_millis(25).mul_f64(std::f64::consts::LN_2);
        let sample = LimitSample { latency, baseline, in_flight: limit.limit(), overloaded: false };
        limit.on_sample(&mut cx, &sample);
        assert!(limit.limit() >= 3);
    }
}
