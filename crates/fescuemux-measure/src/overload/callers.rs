//! Division of a caller's limit between daemons, each of which sees a part of its traffic.

use fescuemux_core::admit::{
    CallerDecision, CallerDemandAggregator, CallerRateLimit, CallerRateLimiter,
    CallerRateLimiterConfig,
};
use fescuemux_core::base::{CallerId, Cx, InstanceId};
use rand::Rng;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Ways of division that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Each daemon grants the whole limit.
    Whole,
    /// Each daemon grants an equal part.
    Equal,
    /// Each daemon grants the part that its demand is of the demand that the caller's home sums.
    Demand,
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Way of division.
    pub division: String,
    /// Daemons that the caller uses.
    pub used: usize,
    /// Requests offered, as a multiple of the limit.
    pub offered: f64,
    /// Requests admitted in the first 5 s, as a multiple of the limit.
    pub admitted_start: f64,
    /// Requests admitted after 10 s, as a multiple of the limit.
    pub admitted: f64,
    /// Reports a second to the home.
    pub reports_per_s: f64,
}

const DAEMONS: usize = 540;
const LIMIT: CallerRateLimit = CallerRateLimit { rate: 100.0, burst: 100.0 };
const START_S: usize = 5;
const WARM_UP_S: usize = 10;
const LENGTH_S: usize = 70;

/// Sends `offered` times the limit through `used` of 540 daemons, for 70 s.
pub fn measure(division: Division, used: usize, offered: f64, seed: u64) -> Row {
    let mut cx = Cx::new(Instant::now(), seed);
    let mut home = CallerDemandAggregator::new(16);
    let mut daemons: Vec<CallerRateLimiter> =
        (0..used).map(|_| daemon(&mut cx, division)).collect();
    let (mut start, mut late, mut reports) = (0, 0, 0);
    for second in 0..LENGTH_S {
        let admitted = one_second(&mut cx, &mut daemons, offered);
        start += if second < START_S { admitted } else { 0 };
        late += if second >= WARM_UP_S { admitted } else { 0 };
        if division == Division::Demand {
            reports += exchange(&mut cx, &mut home, &mut daemons);
        }
    }
    Row {
        division: format!("{division:?}").to_lowercase(),
        used,
        offered,
        admitted_start: f64::from(start) / LIMIT.rate / START_S as f64,
        admitted: f64::from(late) / LIMIT.rate / (LENGTH_S - WARM_UP_S) as f64,
        reports_per_s: f64::from(reports) / LENGTH_S as f64,
    }
}

fn daemon(cx: &mut Cx, division: Division) -> CallerRateLimiter {
    let initial_share = if division == Division::Equal { 1.0 / DAEMONS as f64 } else { 1.0 };
    let cfg = CallerRateLimiterConfig { initial_share, ..CallerRateLimiterConfig::default() };
    let mut limits = CallerRateLimiter::new(cfg, cx.now);
    limits.set(cx, &caller(), LIMIT);
    limits
}

fn caller() -> CallerId {
    "caller".into()
}

/// Sends the requests of one second at random daemons and returns how many were admitted.
fn one_second(cx: &mut Cx, daemons: &mut [CallerRateLimiter], offered: f64) -> u32 {
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

fn exchange(
    cx: &mut Cx,
    home: &mut CallerDemandAggregator,
    daemons: &mut [CallerRateLimiter],
) -> u32 {
    let mut reports = 0;
    for (number, daemon) in daemons.iter_mut().enumerate() {
        let from: InstanceId = format!("i{number}").into();
        for demand in daemon.demand_reports(cx, DAEMONS) {
            reports += 1;
            if let Some(fleet) = home.on_report(cx, &from, &demand) {
                daemon.set_fleet_demand(cx, &demand.caller, fleet);
            }
        }
    }
    reports
}
