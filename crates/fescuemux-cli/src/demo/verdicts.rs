//! Whether what must always hold did hold, judged from what callers and backend servers saw.

use super::fleet::FLOOR_SLOTS;
use super::observer::Seen;
use super::request_log::{Kind, Sent};
use fescuemux_standins::server::Execution;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Instant;

/// Times of the script.
pub(super) struct Times {
    /// Server that had the fault.
    pub(super) sick: String,
    pub(super) fault_at: Instant,
    pub(super) repaired_at: Instant,
    pub(super) returned_at: Option<Instant>,
}

/// Result of the demo.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    sent: usize,
    answered: usize,
    /// Answers made by the fleet, by status and verdict.
    refused: BTreeMap<String, usize>,
    answered_wrongly: usize,
    /// Bookings that ran more than once.
    run_twice: usize,
    /// Requests that ran although the caller was told "not run".
    ran_although_not_run: usize,
    /// Requests whose answer did not arrive whole, and requests cut by the graceful stop.
    cut: usize,
    detection_ms: Option<u128>,
    return_ms: Option<u128>,
    false_ejections: usize,
    lowest_capacity: BTreeMap<String, u32>,
    floor: u32,
    below_floor: Vec<String>,
    cut_reasons: Vec<String>,
}

impl Outcome {
    pub(super) fn new(
        log: &[Sent],
        executions: &[Execution],
        seen: &Seen,
        times: Times,
        cut_by_stop: u32,
    ) -> Outcome {
        let runs = runs_by_tag(executions);
        let ran = |sent: &&Sent| runs.get(sent.tag.as_str()).copied().unwrap_or(0);
        let told_not_run =
            |sent: &&Sent| sent.answer.as_ref().is_some_and(|answer| answer.verdict == "not-run");
        let detected = seen.changes.iter().find(|change| {
            change.server == times.sick && change.at >= times.fault_at && change.health != "serving"
        });
        let cut_reasons: Vec<String> = log.iter().filter_map(|sent| sent.cut.clone()).collect();
        Outcome {
            sent: log.len(),
            answered: log.iter().filter(|sent| sent.is_success()).count(),
            refused: refusals(log),
            answered_wrongly: log.iter().filter(|sent| sent.is_wrong()).count(),
            run_twice: log.iter().filter(|s| s.kind == Kind::Booking && ran(s) > 1).count(),
            ran_although_not_run: log.iter().filter(told_not_run).filter(|s| ran(s) > 0).count(),
            cut: cut_reasons.len() + cut_by_stop as usize,
            detection_ms: detected.map(|c| c.at.duration_since(times.fault_at).as_millis()),
            return_ms: times.returned_at.map(|at| (at - times.repaired_at).as_millis()),
            false_ejections: false_ejections(seen, &times.sick),
            lowest_capacity: seen.lowest.clone(),
            floor: FLOOR_SLOTS,
            below_floor: seen.below_floor().into_iter().map(str::to_owned).collect(),
            cut_reasons,
        }
    }

    /// Returns the properties that did not hold.
    pub(super) fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut check = |holds: bool, property: &str| {
            if !holds {
                broken.push(property.to_owned());
            }
        };
        check(self.answered > 0, "requests are answered");
        check(self.answered_wrongly == 0, "every caller receives its own answer");
        check(self.run_twice == 0, "a booking runs at most once");
        check(self.ran_although_not_run == 0, "\"not run\" means that it did not run");
        check(self.cut == 0, "a planned stop cuts no request");
        check(self.below_floor.is_empty(), "ejections keep the floor");
        check(self.detection_ms.is_some(), "the bad server is found");
        check(self.return_ms.is_some(), "the repaired server serves again");
        broken
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |value: Option<u128>| value.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        let mut row = |name: &str, value: String| writeln!(f, "{name:<34} {value}");
        row("sent", self.sent.to_string())?;
        row("answered", self.answered.to_string())?;
        for (kind, count) in &self.refused {
            row(&format!("  {kind}"), count.to_string())?;
        }
        row("answered wrongly", self.answered_wrongly.to_string())?;
        row("run twice", self.run_twice.to_string())?;
        row("ran although told \"not run\"", self.ran_although_not_run.to_string())?;
        row("cut", self.cut.to_string())?;
        row("detection time", ms(self.detection_ms))?;
        row("return after repair", ms(self.return_ms))?;
        row("false ejections", self.false_ejections.to_string())?;
        for (service, slots) in &self.lowest_capacity {
            row(&format!("lowest capacity {service}"), format!("{slots}, floor {}", self.floor))?;
        }
        for reason in self.cut_reasons.iter().take(5) {
            row("  cut because", reason.clone())?;
        }
        Ok(())
    }
}

fn runs_by_tag(executions: &[Execution]) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for tag in executions.iter().filter_map(|execution| execution.tag.as_deref()) {
        *runs.entry(tag).or_default() += 1;
    }
    runs
}

fn refusals(log: &[Sent]) -> BTreeMap<String, usize> {
    let mut refused = BTreeMap::new();
    for answer in log.iter().filter(|s| !s.is_success()).filter_map(|s| s.answer.as_ref()) {
        let kind = format!("{} {} ({})", answer.status, answer.verdict, answer.reason);
        *refused.entry(kind).or_default() += 1;
    }
    refused
}

/// Counts servers that were taken off without a fault. Probation belongs to an earlier ejection.
fn false_ejections(seen: &Seen, sick: &str) -> usize {
    let taken_off = |health: &str| matches!(health, "steered" | "ejected");
    seen.changes.iter().filter(|c| c.server != sick && taken_off(&c.health)).count()
}
