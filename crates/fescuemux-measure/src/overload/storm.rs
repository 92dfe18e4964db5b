//! Retry storms: a total outage, and a loss of half of the capacity at twice the ordinary load.

use crate::overload::{Fault, Phase, Policy, QueuePolicy, RetryPolicy, RoutePolicy, Setup, run};
use serde::Serialize;
use std::time::Duration;

/// Share of requests answered in time from which the service counts as recovered.
const RECOVERED_GOODPUT: f64 = 0.95;

/// Ordinary load as a share of the capacity; twice this load is just below the whole capacity.
const ORDINARY_LOAD: f64 = 0.45;

/// Policies that are compared.
pub const POLICIES: [Policy; 5] = [
    Policy::CORE,
    Policy { name: "naive retries, deadline queue", retry: RetryPolicy::Naive, ..Policy::CORE },
    Policy { name: "budget, FIFO queue", queue: QueuePolicy::Fifo, ..Policy::CORE },
    Policy {
        name: "naive retries, FIFO queue, random",
        route: RoutePolicy::Random,
        retry: RetryPolicy::Naive,
        queue: QueuePolicy::Fifo,
        redirect: false,
        hedge_percent: None,
    },
    Policy { name: "parts, redirect", redirect: true, ..Policy::CORE },
];

/// Size of the part of the fleet that one service uses.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Name in reports.
    pub name: &'static str,
    /// Number of ingresses.
    pub ingresses: usize,
    /// Number of backend servers of the service, each with four slots.
    pub servers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Mean service time.
    pub service_time: Duration,
}

/// A service of a current user, and a service of the target fleet, where each ingress receives 1.2
/// requests/s at the ordinary load.
pub const SIZES: [FleetSize; 2] = [
    FleetSize {
        name: "current",
        ingresses: 10,
        servers: 10,
        domains: 3,
        service_time: Duration::from_millis(25),
    },
    FleetSize {
        name: "target",
        ingresses: 540,
        servers: 59,
        domains: 7,
        service_time: Duration::from_millis(160),
    },
];

/// Result of a run with a total outage.
#[derive(Clone, Debug, Serialize)]
pub struct OutageRow {
    /// Name of the fleet size.
    pub size: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests during the outage.
    pub requests: u64,
    /// Attempts per request during the outage.
    pub amplification: f64,
    /// Highest value of `amplification` in one second of the outage.
    pub worst_second: f64,
}

/// Result of a run in which half of the capacity is lost for a time.
#[derive(Clone, Debug, Serialize)]
pub struct HalfCapacityRow {
    /// Name of the fleet size.
    pub size: &'static str,
    /// Fault by which the capacity is lost.
    pub fault: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Share of requests answered in time while half of the capacity is lost.
    pub goodput_in_fault: f64,
    /// Attempts per request while half of the capacity is lost.
    pub amplification: f64,
    /// Seconds from the return of the capacity until the goodput of every later second is at least
    /// 95%; `None` if that does not happen.
    pub recovery_s: Option<usize>,
    /// Share of requests answered in time over the last 30 s, from 30 s after the return of the
    /// capacity.
    pub goodput_at_end: f64,
    /// Number of attempts that started at the backend server after the caller's deadline, in the
    /// whole run.
    pub wasted: u64,
}

fn setup(size: FleetSize, policy: Policy, seed: u64) -> Setup {
    Setup {
        ingresses: size.ingresses,
        servers: size.servers,
        domains: size.domains,
        slots: 4,
        service_time: size.service_time,
        request_timeout: Duration::from_secs(1),
        phases: vec![],
        policy,
        seed,
    }
}

/// Simulates 30 s without a fault and then a total outage of 60 s, both at the ordinary load.
pub fn measure_outage(size: FleetSize, policy: Policy, seed: u64) -> OutageRow {
    const BEFORE: usize = 30;
    const OUTAGE: usize = 60;
    let mut setup = setup(size, policy, seed);
    let rate = setup.capacity() * ORDINARY_LOAD;
    setup.phases = vec![phase(BEFORE, Fault::None, rate), phase(OUTAGE, Fault::AllDown, rate)];
    let stats = run(&setup);
    let seconds = BEFORE..BEFORE + OUTAGE;
    let sum = stats.sum(seconds.clone());
    let worst_second = stats.seconds[seconds].iter().map(|s| s.amplification()).fold(0.0, f64::max);
    OutageRow {
        size: size.name,
        policy: policy.name,
        seed,
        requests: sum.requests,
        amplification: sum.amplification(),
        worst_second,
    }
}

/// Simulates 20 s without a fault at the ordinary load, 30 s with `fault`, which takes half of the
/// capacity, at twice the ordinary load, and 60 s without a fault at twice the ordinary load.
pub fn measure_half_capacity(
    size: FleetSize,
    fault: Fault,
    policy: Policy,
    seed: u64,
) -> HalfCapacityRow {
    const BEFORE: usize = 20;
    const FAULT: usize = 30;
    const AFTER: usize = 60;
    let mut setup = setup(size, policy, seed);
    let ordinary_rate = setup.capacity() * ORDINARY_LOAD;
    setup.phases = vec![
        phase(BEFORE, Fault::None, ordinary_rate),
        phase(FAULT, fault, 2.0 * ordinary_rate),
        phase(AFTER, Fault::None, 2.0 * ordinary_rate),
    ];
    let stats = run(&setup);
    let during_fault = stats.sum(BEFORE..BEFORE + FAULT);
    let end = BEFORE + FAULT + AFTER;
    let after = &stats.seconds[BEFORE + FAULT..end];
    let last_below = after.iter().rposition(|s| s.goodput() < RECOVERED_GOODPUT);
    let recovery_s = last_below.map_or(0, |at| at + 1);
    HalfCapacityRow {
        size: size.name,
        fault: if fault == Fault::HalfDown { "half down" } else { "half speed" },
        policy: policy.name,
        seed,
        goodput_in_fault: during_fault.goodput(),
        amplification: during_fault.amplification(),
        recovery_s: (recovery_s < AFTER).then_some(recovery_s),
        goodput_at_end: stats.sum(end - 30..end).goodput(),
        wasted: stats.wasted,
    }
}

fn phase(seconds: usize, fault: Fault, rate: f64) -> Phase {
    Phase { length: Duration::from_secs(seconds as u64), fault, rate }
}
