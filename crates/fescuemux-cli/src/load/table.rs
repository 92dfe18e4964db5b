//! Report as a human-readable table.

use super::quantiles::Quantiles;
use super::report::{AddedLatency, Report, TargetReport};
use std::collections::BTreeMap;
use std::fmt::{Display, Write};

/// Returns the report as a table.
pub(crate) fn render(report: &Report) -> String {
    let mut text = format!(
        "{} {}, {} requests/s to each target for {} s after {} s, {:?} schedule, seed {}\n\n",
        report.method,
        report.path,
        report.rate,
        report.duration_s,
        report.warm_up_s,
        report.schedule,
        report.seed
    );
    let headings = ["scheduled", "answered", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"];
    write_row(&mut text, "target", headings.map(str::to_owned));
    for target in &report.targets {
        let [scheduled, answered] = [target.scheduled, target.answered].map(|n| n.to_string());
        let [p50, p90, p99, p999, max] = format_quantiles(&target.latency);
        write_row(&mut text, &target.name, [scheduled, answered, p50, p90, p99, p999, max]);
    }
    for added in &report.added {
        let [p50, p90, p99, p999, max] = format_differences(added);
        let name = format!("{} added", added.target);
        write_row(&mut text, &name, [String::new(), String::new(), p50, p90, p99, p999, max]);
    }
    for target in &report.targets {
        write_details(&mut text, target);
    }
    text
}

fn write_row(text: &mut String, name: &str, cells: [String; 7]) {
    let _ = write!(text, "{name:<16}");
    for cell in cells {
        let _ = write!(text, " {cell:>10}");
    }
    text.push('\n');
}

fn format_quantiles(times: &Quantiles) -> [String; 5] {
    [times.p50_us, times.p90_us, times.p99_us, times.p999_us, times.max_us]
        .map(|micros| format!("{:.2}", micros as f64 / 1000.0))
}

fn format_differences(added: &AddedLatency) -> [String; 5] {
    [added.p50_us, added.p90_us, added.p99_us, added.p999_us, added.max_us]
        .map(|micros| format!("{:+.2}", micros as f64 / 1000.0))
}

fn write_details(text: &mut String, target: &TargetReport) {
    let checks = &target.checks;
    let delay = target.send_delay.p99_us as f64 / 1000.0;
    let _ = write!(
        text,
        "\n{}\n  statuses  {}\n  verdicts  {}\n  failures  {}\n  checks    {} passed, {} failed, \
         {} not checked\n  send delay p99 {delay:.2} ms\n",
        target.name,
        format_counts(&target.statuses),
        format_counts(&target.verdicts),
        format_counts(&target.failures),
        checks.passed,
        checks.failed,
        checks.unchecked
    );
    for example in &checks.examples {
        let _ = writeln!(text, "  failed check: {example}");
    }
}

fn format_counts<K: Display>(counts: &BTreeMap<K, u64>) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let counts: Vec<String> = counts.iter().map(|(key, n)| format!("{key}: {n}")).collect();
    counts.join(", ")
}
