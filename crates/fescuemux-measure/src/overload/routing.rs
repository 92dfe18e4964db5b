//! Routing quality: time that requests wait for a slot under each routing policy.

use crate::overload::{Fault, Phase, Policy, RoutePolicy, Setup, run};
use serde::Serialize;
use std::time::Duration;

/// Routing policies that are compared; queueing and retries are the same.
pub const POLICIES: [Policy; 5] = [
    Policy { name: "router", ..Policy::CORE },
    Policy { name: "router, redirect", redirect: true, ..Policy::CORE },
    Policy { name: "random, redirect", route: RoutePolicy::Random, redirect: true, ..Policy::CORE },
    Policy { name: "random", route: RoutePolicy::Random, ..Policy::CORE },
    Policy { name: "round robin", route: RoutePolicy::RoundRobin, ..Policy::CORE },
];

/// Size of the part of the fleet that one service uses.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Name in reports.
    pub name: &'static str,
    /// Number of ingresses.
    pub ingresses: usize,
    /// Number of backend servers of the service.
    pub servers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Requests per second of the service.
    pub rate: f64,
}

/// A service of a current user, and an average service of the target fleet with 4,400 servers and
/// 49,000 requests/s over 75 services.
pub const SIZES: [FleetSize; 2] = [
    FleetSize { name: "current", ingresses: 10, servers: 10, domains: 3, rate: 1_000.0 },
    FleetSize { name: "target", ingresses: 540, servers: 59, domains: 7, rate: 653.0 },
];

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the fleet size.
    pub size: &'static str,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Name of the routing policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Median wait for a slot in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of the wait for a slot in milliseconds.
    pub wait_p99_ms: f64,
    /// 99th percentile of the wait as a multiple of the mean service time.
    pub wait_p99_service_times: f64,
    /// Share of requests answered in time.
    pub goodput: f64,
    /// Attempts per request, including redirects.
    pub attempts: f64,
}

/// Simulates one minute with a load given as a share of the capacity. The request rate depends only
/// on `size`, so a higher load means a longer service time.
pub fn measure(size: FleetSize, load: f64, policy: Policy, seed: u64) -> Row {
    /// Slots of each backend server.
    const SLOTS: u32 = 4;
    let total_slots = size.servers as f64 * f64::from(SLOTS);
    let service_time = Duration::from_secs_f64(load * total_slots / size.rate);
    let length = Duration::from_secs(60);
    let setup = Setup {
        ingresses: size.ingresses,
        servers: size.servers,
        domains: size.domains,
        slots: SLOTS,
        service_time,
        // Long enough that poor routing shows as waiting time and not as refused requests.
        request_timeout: service_time * 40,
        phases: vec![Phase { length, fault: Fault::None, rate: size.rate }],
        policy,
        seed,
    };
    let stats = run(&setup);
    let quantile_ms = |quantile| stats.wait.value_at_quantile(quantile) as f64 / 1e3;
    Row {
        size: size.name,
        load,
        policy: policy.name,
        seed,
        wait_p50_ms: quantile_ms(0.5),
        wait_p99_ms: quantile_ms(0.99),
        wait_p99_service_times: quantile_ms(0.99) / 1e3 / service_time.as_secs_f64(),
        goodput: stats.sum(0..60).goodput(),
        attempts: stats.sum(0..60).amplification(),
    }
}
