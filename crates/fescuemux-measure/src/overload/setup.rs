//! Parameters of a simulated run.

use std::time::Duration;

/// Policy by which ingresses choose backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePolicy {
    /// The router of `fescuemux-core`.
    Router,
    /// Uniformly at random.
    Random,
    /// In turn; each ingress starts at a random server.
    RoundRobin,
}

/// Policy by which ingresses retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The retry budget of `fescuemux-core`.
    Budget,
    /// Up to three retries without a budget. Each attempt times out after a quarter of the time
    /// from the arrival of the request to its deadline.
    Naive,
}

/// Policy by which guards queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// The deadline queue of `fescuemux-core`.
    Deadline,
    /// Like `Deadline`, but once the queue has the first length, the guard refuses all attempts
    /// until the queue is down to the second length.
    Thresholds(usize, usize),
    /// An unbounded queue in order of arrival that ignores deadlines.
    Fifo,
}

/// Policies of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// How ingresses choose backend servers.
    pub route: RoutePolicy,
    /// How ingresses retry.
    pub retry: RetryPolicy,
    /// How guards queue.
    pub queue: QueuePolicy,
    /// Whether a guard without a free slot redirects a request, once and without charge to the
    /// retry budget, while the mean load of the service is below one request per slot.
    pub redirect: bool,
    /// Latency percentile after which the first attempt of a request is hedged; `None` without
    /// hedging.
    pub hedge_percent: Option<u8>,
}

impl Policy {
    /// The router, retry budget and deadline queue of `fescuemux-core`.
    pub const CORE: Policy = Policy {
        name: "parts",
        route: RoutePolicy::Router,
        retry: RetryPolicy::Budget,
        queue: QueuePolicy::Deadline,
        redirect: false,
        hedge_percent: None,
    };
}

/// Fault of the backend servers during a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All servers are healthy.
    None,
    /// All servers are down and their guards answer "not run".
    AllDown,
    /// The instance of every second server is dead.
    HalfDown,
    /// All servers take twice the service time.
    HalfSpeed,
    /// The first server takes five times the service time.
    OneSlow,
}

/// Phase of a run with a constant load and fault.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Length of the phase.
    pub length: Duration,
    /// Fault of the backend servers.
    pub fault: Fault,
    /// Requests per second, summed over all callers.
    pub rate: f64,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of ingresses.
    pub ingresses: usize,
    /// Number of backend servers, each with its own guard and instance.
    pub servers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Mean of the exponentially distributed service time.
    pub service_time: Duration,
    /// Time from the arrival of a request to its deadline.
    pub request_timeout: Duration,
    /// Phases in order of time.
    pub phases: Vec<Phase>,
    /// Policies of ingresses and guards.
    pub policy: Policy,
    /// Seed of the run.
    pub seed: u64,
}

impl Setup {
    /// Returns the capacity of all servers in requests per second.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots) / self.service_time.as_secs_f64()
    }
}
