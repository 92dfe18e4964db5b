//! Result rows and the bounds that they are checked against.

use super::meter::Traffic;
use serde::Serialize;

/// Name of the scenario that the configuration bounds apply to.
pub(super) const CONFIG_SCENARIO: &str = "configuration, 1% loss";

/// Upper bounds on the control cost of one node at the target scale.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// CPU time in microseconds per second, 1.3% of a core.
    pub cpu_us: f64,
    /// Bytes of memory. [`Bounds::exceeded_by`] does not check this bound.
    pub memory: f64,
    /// Bytes/s of control traffic, sent and received.
    pub bytes: f64,
    /// Seconds until half of the daemons have applied a configuration.
    pub config_median_secs: f64,
    /// Seconds until all reachable daemons have applied a configuration.
    pub config_max_secs: f64,
}

impl Bounds {
    /// Bounds that the requirements set for the target scale.
    pub const TARGET: Bounds = Bounds {
        cpu_us: 13_000.0,
        memory: 32.0 * 1024.0 * 1024.0,
        bytes: 15.0 * 1024.0,
        config_median_secs: 2.0,
        config_max_secs: 6.0,
    };

    /// Returns descriptions of the bounds that `row` exceeds.
    pub fn exceeded_by(&self, row: &Row) -> Vec<String> {
        let is_config_scenario = row.scenario == CONFIG_SCENARIO;
        let has_unconverged = row.converged_max < 0.0;
        let checks = [
            (row.bytes_mean > self.bytes, "bytes/s, mean of all nodes"),
            (row.bytes_max > self.bytes, "bytes/s, busiest node"),
            (row.bytes_peak > self.bytes, "bytes/s, busiest node in its busiest 10 s"),
            (row.cpu_us > self.cpu_us, "processor time"),
            (row.false_deaths > 0, "false deaths"),
            (has_unconverged, "views that never converged"),
            (
                is_config_scenario && row.converged_p50 > self.config_median_secs,
                "median time in force",
            ),
            (
                is_config_scenario && row.converged_max > self.config_max_secs,
                "longest time in force",
            ),
        ];
        checks
            .iter()
            .filter(|(exceeded, _)| *exceeded)
            .map(|(_, description)| description.to_string())
            .collect()
    }
}

/// Result of one scenario with one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of daemons.
    pub nodes: usize,
    /// Bytes/s that a node sends and receives, averaged over all nodes.
    pub bytes_mean: f64,
    /// Bytes/s that the busiest node sends and receives.
    pub bytes_max: f64,
    /// Bytes/s that one node sends and receives at most, averaged over 10 s.
    pub bytes_peak: f64,
    /// Messages/s that a node sends, averaged over all nodes.
    pub messages: f64,
    /// Median convergence time of the scenario in seconds; zero if the scenario measures none.
    pub converged_p50: f64,
    /// Longest convergence time in seconds. Negative when a node did not converge.
    pub converged_max: f64,
    /// Number of times that a node declared a running and reachable instance dead.
    pub false_deaths: u64,
    /// CPU time in microseconds per node and second of virtual time.
    pub cpu_us: f64,
}

impl Row {
    pub(super) fn new(
        scenario: &str,
        nodes: usize,
        traffic: Traffic,
        convergence_times: &[f64],
        false_deaths: u64,
    ) -> Row {
        let mut times = convergence_times.to_vec();
        times.sort_by(f64::total_cmp);
        let time_at = |i: usize| times.get(i).copied().unwrap_or(0.0);
        let has_unconverged = times.iter().any(|t| t.is_infinite());
        Row {
            scenario: scenario.to_owned(),
            nodes,
            bytes_mean: traffic.mean_bytes_per_s,
            bytes_max: traffic.max_bytes_per_s,
            bytes_peak: traffic.peak_bytes_per_s,
            messages: traffic.messages_per_s,
            converged_p50: time_at(times.len() / 2),
            converged_max: if has_unconverged {
                -1.0
            } else {
                time_at(times.len().saturating_sub(1))
            },
            false_deaths,
            cpu_us: traffic.cpu_us_per_s,
        }
    }
}

/// Prints rows as a table.
pub fn print_rows(rows: &[Row]) {
    println!(
        "{:<34} {:>5} {:>9} {:>9} {:>9} {:>7} {:>8} {:>8} {:>6} {:>9}",
        "scenario",
        "nodes",
        "B/s mean",
        "B/s max",
        "B/s peak",
        "msg/s",
        "p50 s",
        "max s",
        "false",
        "cpu µs/s"
    );
    for r in rows {
        println!(
            "{:<34} {:>5} {:>9.0} {:>9.0} {:>9.0} {:>7.2} {:>8.2} {:>8.2} {:>6} {:>9.0}",
            r.scenario,
            r.nodes,
            r.bytes_mean,
            r.bytes_max,
            r.bytes_peak,
            r.messages,
            r.converged_p50,
            r.converged_max,
            r.false_deaths,
            r.cpu_us
        );
    }
}
