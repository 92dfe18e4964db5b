//! Division of a caller's rate limit between daemons that each receive a part of its requests.

use fescuemux_core::admit::{
    CallerDecision, CallerDemandAggregator, CallerRateLimit, CallerRateLimiter,
    CallerRateLimiterConfig,
};
use fescuemux_core::base::{CallerId, Cx, InstanceId};
use rand::Rng;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Methods of dividing the limit that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Each daemon applies the whole limit.
    Whole,
    /// Each daemon applies an equal part of the limit.
    Equal,
    /// Each daemon applies a part in proportion to its share of the caller's demand. One instance,
    /// the caller's home, sums up the demand that all daemons report.
    Demand,
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Method of division.
    pub division: String,
    /// Number of daemons that the caller uses.
    pub used: usize,
    /// Requests offered, as a multiple of the limit.
    pub offered: f64,
    /// Requests admitted in the first 5 s, as a multiple of the limit.
    pub admitted_start: f64,
    /// Requests admitted after 10 s, as a multiple of the limit.
    pub admitted: f64,
    /// Demand reports per second to the home instance.
    pub reports_per_s: f64,
}

const FLEET_DAEMONS: usize = 540;
const LIMIT: CallerRateLimit = CallerRateLimit { rate: 100.0, burst: 100.0 };
const START_PERIOD_S: usize = 5;
const WARM_UP_S: usize = 10;
const RUN_S: usize = 70;

/// Sends `offered` times the limit through `daemons_used` of 540 daemons for 70 s.
pub fn measure(division: Division, daemons_used: usize, offered: f64, seed: u64) -> Row {
    let mut cx = Cx::new(Instant::now(), seed);
    let mut home = CallerDemandAggregator::new(16);
    let mut daemons: Vec<CallerRateLimiter> =
        (0..daemons_used).map(|_| new_daemon(&mut cx, division)).collect();
    let (mut admitted_at_start, mut admitted_after_warm_up, mut reports) = (0, 0, 0);
    for second in 0..RUN_S {
        let admitted = send_one_second(&mut cx, &mut daemons, offered);
        admitted_at_start += if second < START_PERIOD_S { admitted } else { 0 };
        admitted_after_warm_up += if second >= WARM_UP_S { admitted } else { 0 };
        if division == Division::Demand {
            reports += report_demand(&mut cx, &mut home, &mut daemons);
        }
    }
    Row {
        division: format!("{division:?}").to_lowercase(),
        used: daemons_used,
        offered,
        admitted_start: f64::from(admitted_at_start) / LIMIT.rate / START_PERIOD_S as f64,
        admitted: f64::from(admitted_after_warm_up) / LIMIT.rate / (RUN_S - WARM_UP_S) as f64,
        reports_per_s: f64::from(reports) / RUN_S as f64,
    }
}

fn new_daemon(cx: &mut Cx, division: Division) -> CallerRateLimiter {
    let initial_share = if division == Division::Equal { 1.0 / FLEET_DAEMONS as f64 } else { 1.0 };
    let cfg = CallerRateLimiterConfig { initial_share, ..CallerRateLimiterConfig::default() };
    let mut limiter = CallerRateLimiter::new(cfg, cx.now);
    limiter.set(cx, &caller(), LIMIT);
    limiter
}

fn caller() -> CallerId {
    "caller".into()
}

/// Sends the requests of one second to random daemons and returns the number admitted.
fn send_one_second(cx: &mut Cx, daemons: &mut [CallerRateLimiter], offered: f64) -> u32 {
    let requests = (LIMIT.rate * offered) as u32;
    let mut admitted = 0;
    for _ in 0..requests {
        cx.now += Duration::from_secs(1) / requests;
        let daemon = cx.rng.random_range(0..daemons.len());
        let decision = daemons[daemon].admit(cx, &caller());
        admitted += u32::from(decision == CallerDecision::Admitted);
    }
    admitted
}

/// Reports the demand at all daemons to the caller's home and returns the number of reports.
fn report_demand(
    cx: &mut Cx,
    home: &mut CallerDemandAggregator,
    daemons: &mut [CallerRateLimiter],
) -> u32 {
    let mut reports = 0;
    for (number, daemon) in daemons.iter_mut().enumerate() {
        let from: InstanceId = format!("i{number}").into();
        for demand in daemon.demand_reports(cx, FLEET_DAEMONS) {
            reports += 1;
            if let Some(fleet_demand) = home.on_report(cx, &from, &demand) {
                daemon.set_fleet_demand(cx, &demand.caller, fleet_demand);
            }
        }
    }
    reports
}
