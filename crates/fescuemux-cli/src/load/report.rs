//! Result of a run.

use super::quantiles::Quantiles;
use super::schedule::Shape;
use serde::Serialize;
use std::collections::BTreeMap;

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) rate: f64,
    pub(crate) duration_s: f64,
    pub(crate) warm_up_s: f64,
    pub(crate) schedule: Shape,
    pub(crate) seed: u64,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body_bytes: u64,
    pub(crate) answer_bytes: Option<u64>,
    pub(crate) connections: u32,
    pub(crate) targets: Vec<TargetReport>,
    pub(crate) added: Vec<Added>,
}

/// Result of one target.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TargetReport {
    pub(crate) name: String,
    /// Requests after the warm-up, whatever became of them.
    pub(crate) scheduled: u64,
    pub(crate) warm_up_requests: u64,
    pub(crate) answered: u64,
    pub(crate) statuses: BTreeMap<u16, u64>,
    pub(crate) verdicts: BTreeMap<&'static str, u64>,
    pub(crate) failures: BTreeMap<&'static str, u64>,
    pub(crate) checks: Checks,
    /// From the intended send time, of all answers and timeouts.
    pub(crate) latency: Quantiles,
    /// From the intended send time until the request had a connection.
    pub(crate) send_delay: Quantiles,
    /// Pairs of 1/(1-q) and the latency at q in µs.
    pub(crate) curve: Vec<(f64, u64)>,
    pub(crate) over_time: Vec<Point>,
}

/// Results of comparing answers with their requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Checks {
    pub(crate) passed: u64,
    pub(crate) failed: u64,
    pub(crate) unchecked: u64,
    /// The first failed checks.
    pub(crate) examples: Vec<String>,
}

/// Latency of the requests intended within one window.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    /// Start of the window after the warm-up, in seconds.
    pub(crate) at_s: f64,
    #[serde(flatten)]
    pub(crate) times: Quantiles,
}

/// Difference of a target's quantiles to those of the first target, in µs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Added {
    pub(crate) target: String,
    pub(crate) p50_us: i64,
    pub(crate) p90_us: i64,
    pub(crate) p99_us: i64,
    pub(crate) p999_us: i64,
    pub(crate) max_us: i64,
}

impl Report {
    /// Returns whether no check failed and each target answered something.
    pub(crate) fn passed(&self) -> bool {
        self.targets.iter().all(|target| target.checks.failed == 0 && target.answered > 0)
    }
}

impl Added {
    /// Compares the quantiles of `target` with those of the `first` target.
    pub(crate) fn new(first: &TargetReport, target: &TargetReport) -> Added {
        let of = |value: fn(&Quantiles) -> u64| {
            value(&target.latency).cast_signed() - value(&first.latency).cast_signed()
        };
        Added {
            target: target.name.clone(),
            p50_us: of(|times| times.p50_us),
            p90_us: of(|times| times.p90_us),
            p99_us: of(|times| times.p99_us),
            p999_us: of(|times| times.p999_us),
            max_us: of(|times| times.max_us),
        }
    }
}
