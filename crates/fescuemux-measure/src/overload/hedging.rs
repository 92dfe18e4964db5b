//! Hedging of reads, without a fault or with one slow server that still receives traffic.

use crate::overload::{Fault, Phase, Policy, Setup, run};
use serde::Serialize;
use std::time::Duration;

/// Policies that are compared.
pub const POLICIES: [Policy; 3] = [
    Policy { name: "no hedging", ..Policy::CORE },
    Policy { name: "after p95", hedge_percent: Some(95), ..Policy::CORE },
    Policy { name: "after p99", hedge_percent: Some(99), ..Policy::CORE },
];

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Fault of the servers.
    pub fault: String,
    /// Offered load as a share of the healthy capacity.
    pub load: f64,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// Share of requests answered in time.
    pub goodput: f64,
}

/// Simulates a service with ten servers and ten ingresses for one minute.
pub fn measure(fault: Fault, load: f64, policy: Policy, seed: u64) -> Row {
    const SECONDS: usize = 60;
    let mut setup = Setup {
        ingresses: 10,
        servers: 10,
        domains: 3,
        slots: 4,
        service_time: Duration::from_millis(25),
        request_timeout: Duration::from_secs(2),
        phases: vec![],
        policy,
        seed,
    };
    let rate = setup.capacity() * load;
    setup.phases = vec![Phase { length: Duration::from_secs(SECONDS as u64), fault, rate }];
    let stats = run(&setup);
    let quantile_ms = |quantile| stats.latency.value_at_quantile(quantile) as f64 / 1e3;
    let sum = stats.sum(0..SECONDS);
    Row {
        fault: format!("{fault:?}"),
        load,
        policy: policy.name,
        seed,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        attempts: sum.amplification(),
        goodput: sum.goodput(),
    }
}
