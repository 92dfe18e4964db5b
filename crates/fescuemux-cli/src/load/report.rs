//! Report of a run.

use super::quantiles::Quantiles;
use super::schedule::ArrivalProcess;
use serde::Serialize;
use std::collections::BTreeMap;

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) rate: f64,
    pub(crate) duration_s: f64,
    pub(crate) warm_up_s: f64,
    pub(crate) schedule: ArrivalProcess,
    pub(crate) seed: u64,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body_bytes: u64,
    pub(crate) answer_bytes: Option<u64>,
    pub(crate) connections: u32,
    pub(crate) targets: Vec<TargetReport>,
    pub(crate) added: Vec<AddedLatency>,
}

/// Results of one target.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TargetReport {
    pub(crate) name: String,
    /// Number of requests after the warm-up, whatever their outcome.
    pub(crate) scheduled: u64,
    pub(crate) warm_up_requests: u64,
    pub(crate) answered: u64,
    pub(crate) statuses: BTreeMap<u16, u64>,
    pub(crate) verdicts: BTreeMap<&'static str, u64>,
    pub(crate) failures: BTreeMap<&'static str, u64>,
    pub(crate) checks: Checks,
    /// Time from the intended send time to the end of the response or to the timeout. Other
    /// failures are left out.
    pub(crate) latency: Quantiles,
    /// Time from the intended send time until the request had a connection, for the same requests
    /// as `latency`.
    pub(crate) send_delay: Quantiles,
    /// Pairs of 1/(1-q) and the latency at quantile q in µs.
    pub(crate) curve: Vec<(f64, u64)>,
    pub(crate) over_time: Vec<LatencyWindow>,
}

/// Number of responses by the result of their check. Responses of the warm-up count only if their
/// check failed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Checks {
    pub(crate) passed: u64,
    pub(crate) failed: u64,
    pub(crate) unchecked: u64,
    /// Descriptions of the first failed checks.
    pub(crate) examples: Vec<String>,
}

/// Latency of the requests whose intended send time is within one time window.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LatencyWindow {
    /// Start of the window, in seconds after the warm-up.
    pub(crate) at_s: f64,
    #[serde(flatten)]
    pub(crate) times: Quantiles,
}

/// Latency quantiles of a target minus those of the first target, in µs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct AddedLatency {
    pub(crate) target: String,
    pub(crate) p50_us: i64,
    pub(crate) p90_us: i64,
    pub(crate) p99_us: i64,
    pub(crate) p999_us: i64,
    pub(crate) max_us: i64,
}

impl Report {
    /// Returns whether no check failed and each target responded at least once.
    pub(crate) fn passed(&self) -> bool {
        self.targets.iter().all(|target| target.checks.failed == 0 && target.answered > 0)
    }
}

impl AddedLatency {
    /// Compares the quantiles of `target` with those of the `first` target.
    pub(crate) fn new(first: &TargetReport, target: &TargetReport) -> AddedLatency {
        let difference = |value: fn(&Quantiles) -> u64| {
            value(&target.latency).cast_signed() - value(&first.latency).cast_signed()
        };
        AddedLatency {
            target: target.name.clone(),
            p50_us: difference(|times| times.p50_us),
            p90_us: difference(|times| times.p90_us),
            p99_us: difference(|times| times.p99_us),
            p999_us: difference(|times| times.p999_us),
            max_us: difference(|times| times.max_us),
        }
    }
}
