//! Encoded parts of load queries and their replies.

use fescuemux_core::placement::{LoadReport, Precedence, Readiness, ReportedAge};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Encoded [`ReportedAge`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) enum ReportedAgeRecord {
    Millis(u32),
    Unconfirmed,
}

impl From<ReportedAge> for ReportedAgeRecord {
    fn from(age: ReportedAge) -> ReportedAgeRecord {
        match age {
            ReportedAge::Millis(ms) => ReportedAgeRecord::Millis(ms),
            ReportedAge::Unconfirmed => ReportedAgeRecord::Unconfirmed,
        }
    }
}

impl From<ReportedAgeRecord> for ReportedAge {
    fn from(record: ReportedAgeRecord) -> ReportedAge {
        match record {
            ReportedAgeRecord::Millis(ms) => ReportedAge::Millis(ms),
            ReportedAgeRecord::Unconfirmed => ReportedAge::Unconfirmed,
        }
    }
}

/// Encoded [`Precedence`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct PrecedenceRecord {
    #[serde(rename = "of_caller")]
    top_level: bool,
    priority: u8,
    #[serde(rename = "lot")]
    tie_breaker: u16,
}

impl From<Precedence> for PrecedenceRecord {
    fn from(precedence: Precedence) -> PrecedenceRecord {
        let Precedence { top_level, priority, tie_breaker } = precedence;
        PrecedenceRecord { top_level, priority, tie_breaker }
    }
}

impl From<PrecedenceRecord> for Precedence {
    fn from(record: PrecedenceRecord) -> Precedence {
        let PrecedenceRecord { top_level, priority, tie_breaker } = record;
        Precedence { top_level, priority, tie_breaker }
    }
}

/// Encoded [`LoadReport`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LoadReportRecord {
    readiness: u8,
    slots: u32,
    #[serde(rename = "busy")]
    used_slots: u32,
    queued: u32,
    #[serde(rename = "wait_ms")]
    expected_wait_ms: u32,
    #[serde(rename = "running_ms")]
    expected_running_ms: u32,
    #[serde(rename = "doubt")]
    failure_probability: f32,
    shed_probability: f32,
}

impl From<LoadReport> for LoadReportRecord {
    fn from(load_report: LoadReport) -> LoadReportRecord {
        LoadReportRecord {
            readiness: match load_report.readiness {
                Readiness::Open => 0,
                Readiness::Idle => 1,
                Readiness::Closed => 2,
            },
            slots: load_report.slots,
            used_slots: load_report.used_slots,
            queued: load_report.queued,
            expected_wait_ms: load_report.expected_wait.as_millis() as u32,
            expected_running_ms: load_report.expected_running_time.as_millis() as u32,
            failure_probability: load_report.failure_probability as f32,
            shed_probability: load_report.shed_probability as f32,
        }
    }
}

impl From<LoadReportRecord> for LoadReport {
    fn from(record: LoadReportRecord) -> LoadReport {
        LoadReport {
            readiness: match record.readiness {
                0 => Readiness::Open,
                1 => Readiness::Idle,
                _ => Readiness::Closed,
            },
            slots: record.slots,
            used_slots: record.used_slots,
            queued: record.queued,
            expected_wait: Duration::from_millis(u64::from(record.expected_wait_ms)),
            expected_running_time: Duration::from_millis(u64::from(record.expected_running_ms)),
            failure_probability: probability(record.failure_probability),
            shed_probability: probability(record.shed_probability),
        }
    }
}

/// Returns a received probability. A value that is none counts as one, so that the instance goes
/// last.
fn probability(received: f32) -> f64 {
    if received.is_nan() { 1.0 } else { f64::from(received).clamp(0.0, 1.0) }
}
