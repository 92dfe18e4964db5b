//! What one run consists of.

use std::time::Duration;

/// How ingresses choose backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePolicy {
    /// The router of the core.
    Router,
    /// Uniformly at random.
    Random,
    /// In turns, each ingress from its own start.
    RoundRobin,
}

/// How ingresses retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The retry budget of the core.
    Budget,
    /// Up to three retries without a budget, each attempt with a quarter of the deadline.
    Naive,
}

/// How guards queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// The deadline queue of the core.
    Deadline,
    /// The deadline queue, which refuses everything from the first length on until it is back
    /// at the second.
    Thresholds(usize, usize),
    /// An unbounded queue in order of arrival that knows no deadlines.
    Fifo,
}

/// Policies of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// Routing.
    pub route: RoutePolicy,
    /// Retries.
    pub retry: RetryPolicy,
    /// Queueing.
    pub queue: QueuePolicy,
    /// Whether a busy guard sends the first attempt of a request elsewhere, without charge to
    /// the retry budget, while the mean load of the service is below one request per slot.
    pub redirect: bool,
    /// Quantile of the latency, in percent, after which the first attempt is hedged.
    pub hedge_percent: Option<u8>,
}

impl Policy {
    /// The parts of the core.
    pub const CORE: Policy = Policy {
        name: "parts",
        route: RoutePolicy::Router,
        retry: RetryPolicy::Budget,
        queue: QueuePolicy::Deadline,
        redirect: false,
        hedge_percent: None,
    };
}

/// State of the backend servers in a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All work.
    None,
    /// All are down and their guards answer "not run".
    AllDown,
    /// The instances of every second server are dead.
    HalfDown,
    /// All take twice the time for a request.
    HalfSpeed,
    /// The first takes five times the time for a request.
    OneSlow,
}

/// A part of a run.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Length.
    pub length: Duration,
    /// State of the backend servers.
    pub fault: Fault,
    /// Requests per second of all callers.
    pub rate: f64,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of ingresses.
    pub ingresses: usize,
    /// Number of backend servers, each with a guard and an instance of its own.
    pub servers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Mean of the exponential service time.
    pub service_time: Duration,
    /// Time that a caller waits for its answer.
    pub deadline: Duration,
    /// Phases in order.
    pub phases: Vec<Phase>,
    /// Policies.
    pub policy: Policy,
    /// Seed.
    pub seed: u64,
}

impl Setup {
    /// Returns the requests per second that all servers can do.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots) / self.service_time.as_secs_f64()
    }
}
