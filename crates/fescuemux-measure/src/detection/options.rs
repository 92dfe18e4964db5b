//! What to run.

use super::trace::Trace;
use fescuemux_core::base::DetectionPreference;
use serde::Serialize;
use std::time::Duration;

/// Who decides that a backend server is sick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// The fleet's parts with `favor: "fast_detection"`.
    FastDetection,
    /// The fleet's parts with `favor: "few_false_ejections"`.
    FewFalseEjections,
    /// Each guard ejects without asking the ledger. Deliberately broken: the floor check must
    /// catch it.
    EachAlone,
    /// Active health checks alone.
    HealthChecks,
    /// Five consecutive errors.
    ConsecutiveErrors,
    /// Success-rate deviation with a 10% maximum ejection.
    SuccessRate,
}

impl Method {
    /// Methods of a normal run.
    pub const MEASURED: [Method; 5] = [
        Method::FastDetection,
        Method::FewFalseEjections,
        Method::HealthChecks,
        Method::ConsecutiveErrors,
        Method::SuccessRate,
    ];

    /// Returns the name used in tables.
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

    /// Returns the weighting when the fleet's parts decide.
    pub fn preference(self) -> Option<DetectionPreference> {
        match self {
            Method::FastDetection | Method::EachAlone => Some(DetectionPreference::FastDetection),
            Method::FewFalseEjections => Some(DetectionPreference::FewFalseEjections),
            Method::HealthChecks | Method::ConsecutiveErrors | Method::SuccessRate => None,
        }
    }
}

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of seeds, counted from `first_seed`.
    pub seed_count: u64,
    /// First seed.
    pub first_seed: u64,
    /// Sizes of the pools.
    pub pool_sizes: Vec<usize>,
    /// Traces to run.
    pub traces: Vec<Trace>,
    /// Methods to run.
    pub methods: Vec<Method>,
    /// Deadline of each request. It bounds how soon a method that only counts errors can see a
    /// black hole.
    pub deadline: Duration,
    /// Median latency of a healthy server.
    pub median_latency: Duration,
    /// Share of the service's slots that the operator sets as the floor.
    pub floor_share: f64,
    /// Threads to run on.
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
