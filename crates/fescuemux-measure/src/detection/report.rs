//! Report of a measurement as a table and as JSON.

use super::options::{Method, Options};
use super::result::Tally;
use super::trace::Trace;
use serde::Serialize;
use std::fmt;

/// Results of one trace, pool size and method.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Trace that the runs simulated.
    pub trace: Trace,
    /// Number of backend servers.
    pub pool: usize,
    /// Detection method.
    pub method: Method,
    /// Median detection time in seconds; `None` if the trace has no fault. The time of a fault that
    /// is never detected is infinite, which is also `null` in JSON.
    pub detection_p50: Option<f64>,
    /// 99th percentile of the detection time in seconds.
    pub detection_p99: Option<f64>,
    /// Longest detection time in seconds.
    pub detection_max: Option<f64>,
    /// 99th percentile of the time from a fault to the ejection in seconds, over the faulty servers
    /// that were ejected.
    pub ejection_p99: Option<f64>,
    /// Requests sent to faulty servers, as a fraction of the requests that these servers would have
    /// received with an equal share of the traffic.
    pub bad_let_through: Option<f64>,
    /// Like `bad_let_through`, but counts only from the time when traffic to a flapping server has
    /// stopped three times.
    pub flap_let_through: Option<f64>,
    /// Ejections of healthy servers per day and healthy server.
    pub false_ejections_per_server_day: f64,
    /// Times that traffic was steered away from healthy servers, per day and healthy server.
    pub false_steers_per_server_day: f64,
    /// Totals that the other figures are calculated from.
    pub tally: Tally,
}

impl Row {
    pub(super) fn new(trace: Trace, pool: usize, method: Method, tally: Tally) -> Row {
        let ratio = |sent: u64, arrivals: u64| {
            (arrivals > 0).then(|| sent as f64 * pool as f64 / arrivals as f64)
        };
        let days = tally.healthy_time.as_secs_f64() / 86_400.0;
        Row {
            trace,
            pool,
            method,
            detection_p50: tally.detection_quantile(0.5),
            detection_p99: tally.detection_quantile(0.99),
            detection_max: tally.detection_quantile(1.0),
            ejection_p99: tally.ejection_quantile(0.99),
            bad_let_through: ratio(tally.bad_sent, tally.bad_arrivals),
            flap_let_through: ratio(tally.flap_sent, tally.flap_arrivals),
            false_ejections_per_server_day: tally.false_ejections as f64 / days,
            false_steers_per_server_day: tally.false_steers as f64 / days,
            tally,
        }
    }
}

/// Report of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of seeds.
    pub seeds: u64,
    /// First seed.
    pub first_seed: u64,
    /// Deadline of each request in seconds.
    pub deadline_seconds: f64,
    /// Median latency of a healthy server in seconds.
    pub median_seconds: f64,
    /// One row for each trace, pool size and method.
    pub rows: Vec<Row>,
}

impl Report {
    pub(super) fn new(options: &Options, rows: Vec<Row>) -> Report {
        Report {
            seeds: options.seed_count,
            first_seed: options.first_seed,
            deadline_seconds: options.deadline.as_secs_f64(),
            median_seconds: options.median_latency.as_secs_f64(),
            rows,
        }
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails only when the serializer does.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} seeds from {}, deadline {:.1} s, median {:.0} ms",
            self.seeds,
            self.first_seed,
            self.deadline_seconds,
            self.median_seconds * 1000.0
        )?;
        writeln!(
            f,
            "{:<16}{:>5} {:<20}{:>8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>9}{:>9}{:>9}{:>7}{:>7}{:>8}",
            "trace",
            "pool",
            "method",
            "det p50",
            "det p99",
            "det max",
            "eject99",
            "bad %",
            "flap %",
            "f.ej",
            "f.ej/d",
            "f.steer",
            "margin",
            "floor",
            "refused%"
        )?;
        for row in &self.rows {
            write_row(f, row)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let format_seconds = |value: Option<f64>| match value {
        None => "-".to_string(),
        Some(value) if value.is_infinite() => "never".to_string(),
        Some(value) => format!("{value:.2}"),
    };
    let format_percent = |value: Option<f64>| match value {
        None => "-".to_string(),
        Some(value) => format!("{:.2}", value * 100.0),
    };
    let tally = &row.tally;
    writeln!(
        f,
        "{:<16}{:>5} {:<20}{:>8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>9}{:>9.3}{:>9}{:>7}{:>7}{:>8.2}",
        row.trace.as_str(),
        row.pool,
        row.method.as_str(),
        format_seconds(row.detection_p50),
        format_seconds(row.detection_p99),
        format_seconds(row.detection_max),
        format_seconds(row.ejection_p99),
        format_percent(row.bad_let_through),
        format_percent(row.flap_let_through),
        tally.false_ejections,
        row.false_ejections_per_server_day,
        tally.false_steers,
        tally.lowest_margin.map_or("-".to_string(), |margin| margin.to_string()),
        tally.floor_violations,
        100.0 * tally.refused as f64 / (tally.requests.max(1)) as f64
    )
}
