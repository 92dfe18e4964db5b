//! Linear fits over the fleet size and the values extrapolated from them.

use super::report::Row;
use serde::Serialize;

/// Fleet sizes, in nodes, that the table shows values for.
const TABLE_SIZES: [f64; 3] = [540.0, 1080.0, 2160.0];

type Metric = fn(&Row) -> f64;

/// Least-squares line through measured points of fleet size and value.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LinearFit {
    /// Value at size 0.
    pub base: f64,
    /// Increase of the value per node.
    pub slope: f64,
}

impl LinearFit {
    /// Returns the value of the line at a size of `nodes`.
    pub fn at(&self, nodes: f64) -> f64 {
        self.base + self.slope * nodes
    }
}

/// Fits a line to `(nodes, value)` points.
pub fn fit_line(points: &[(f64, f64)]) -> LinearFit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    LinearFit { base: mean_y - slope * mean_x, slope }
}

/// Prints the fits of `rows` and of `memory`, which holds pairs of fleet size and bytes, and the
/// values of the fits at 540, 1080 and 2160 nodes.
pub fn print_slopes(rows: &[Row], memory: &[(f64, f64)]) {
    println!(
        "{:<46} {:>11} {:>11} {:>11} {:>11} {:>11}",
        "calculated from slopes", "base", "slope", "at 540", "at 1080", "at 2160"
    );
    let mut scenarios: Vec<&str> = rows.iter().map(|r| r.scenario.as_str()).collect();
    scenarios.dedup();
    let metrics: [(&str, Metric); 3] = [
        ("bytes/s mean", |r| r.bytes_mean),
        ("bytes/s peak", |r| r.bytes_peak),
        ("cpu µs/s", |r| r.cpu_us),
    ];
    for scenario in scenarios {
        for (label, metric) in metrics {
            let scenario_rows = rows.iter().filter(|r| r.scenario == scenario);
            let points: Vec<_> = scenario_rows.map(|r| (r.nodes as f64, metric(r))).collect();
            print_fit(&format!("{scenario}, {label}"), fit_line(&points));
        }
    }
    print_fit("memory, bytes", fit_line(memory));
}

fn print_fit(label: &str, fit: LinearFit) {
    let [a, b, c] = TABLE_SIZES.map(|s| fit.at(s));
    println!("{label:<46} {:>11.1} {:>11.3} {a:>11.0} {b:>11.0} {c:>11.0}", fit.base, fit.slope);
}
