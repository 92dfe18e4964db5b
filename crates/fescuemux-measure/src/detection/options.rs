//! Options of the detection measurement.

use super::trace::Trace;
use fescuemux_core::base::DetectionPreference;
use serde::Serialize;
use std::time::Duration;

/// Method that detects faulty backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// The components of `fescuemux-core` with `favor: "fast_detection"`.
    FastDetection,
    /// The components of `fescuemux-core` with `favor: "few_false_ejections"`.
    FewFalseEjections,
    /// Like `FastDetection`, but each guard uses a private ledger. This violates the capacity floor
    /// on purpose: the tests use it to verify that the floor check detects violations.
    EachAlone,
    /// Baseline: ejection after three consecutive failed health checks.
    HealthChecks,
    /// Baseline: ejection after five consecutive errors.
    ConsecutiveErrors,
    /// Baseline: ejection of success-rate outliers, limited to 10% of the servers but at least one
    /// server.
    SuccessRate,
}

impl Method {
    /// Methods that a measurement compares by default: all but `EachAlone`.
    pub const MEASURED: [Method; 5] = [
        Method::FastDetection,
        Method::FewFalseEjections,
        Method::HealthChecks,
        Method::ConsecutiveErrors,
        Method::SuccessRate,
    ];

    /// Returns the name that tables and arguments use.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::FastDetection => "fast_detection",
            Method::FewFalseEjections => "few_false_ejections",
            Method::EachAlone => "each_alone",
            Method::HealthChecks => "health_checks",
            Method::ConsecutiveErrors => "consecutive_errors",
            Method::SuccessRate => "success_rate",
        }
    }

    /// Returns the detection preference that this method sets in `fescuemux-core`, or `None` if the
    /// method is a baseline.
    pub fn preference(self) -> Option<DetectionPreference> {
        match self {
            Method::FastDetection | Method::EachAlone => Some(DetectionPreference::FastDetection),
            Method::FewFalseEjections => Some(DetectionPreference::FewFalseEjections),
            Method::HealthChecks | Method::ConsecutiveErrors | Method::SuccessRate => None,
        }
    }
}

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of seeds, counted from `first_seed`.
    pub seed_count: u64,
    /// First seed.
    pub first_seed: u64,
    /// Pool sizes to run, in backend servers.
    pub pool_sizes: Vec<usize>,
    /// Traces to run.
    pub traces: Vec<Trace>,
    /// Methods to run.
    pub methods: Vec<Method>,
    /// Time from the start of each request to its deadline. A method that only counts errors cannot
    /// detect a black hole before the first deadline.
    pub deadline: Duration,
    /// Median latency of a healthy server.
    pub median_latency: Duration,
    /// Capacity floor as a share of the service's slots.
    pub floor_share: f64,
    /// Number of threads.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seed_count: 1_000,
            first_seed: 1,
            pool_sizes: vec![6, 8, 10],
            traces: Trace::ALL.to_vec(),
            methods: Method::MEASURED.to_vec(),
            deadline: Duration::from_secs(3),
            median_latency: Duration::from_millis(50),
            floor_share: 0.7,
            threads: 1,
        }
    }
}
