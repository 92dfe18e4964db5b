//! Checks the guarantees of the fleet from the records of callers, backend servers and daemons.

use super::fleet::FLOOR_SLOTS;
use super::observer::Observations;
use super::request_log::{RequestKind, RequestRecord};
use fescuemux_standins::server::Execution;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Instant;

/// The faulty backend server and the times of the events in the script.
pub(super) struct ScriptTimes {
    /// Backend server with the injected fault.
    pub(super) faulty_server: String,
    pub(super) fault_at: Instant,
    pub(super) repaired_at: Instant,
    pub(super) returned_at: Option<Instant>,
}

/// Result of the demo.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    sent: usize,
    answered: usize,
    /// Number of error responses, by status, verdict and reason.
    refused: BTreeMap<String, usize>,
    answered_wrongly: usize,
    /// Number of bookings that ran more than once.
    run_twice: usize,
    /// Number of requests that ran although the verdict was "not run".
    ran_although_not_run: usize,
    /// Number of requests without a complete response, plus number of requests that the graceful
    /// shutdown aborted.
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
        log: &[RequestRecord],
        executions: &[Execution],
        observations: &Observations,
        times: ScriptTimes,
        aborted_by_shutdown: u32,
    ) -> Outcome {
        let runs = runs_by_tag(executions);
        let run_count =
            |record: &&RequestRecord| runs.get(record.tag.as_str()).copied().unwrap_or(0);
        let has_not_run_verdict = |record: &&RequestRecord| {
            record.response.as_ref().is_some_and(|response| response.verdict == "not-run")
        };
        let detection = observations.changes.iter().find(|change| {
            change.server == times.faulty_server
                && change.at >= times.fault_at
                && change.health != "serving"
        });
        let cut_reasons: Vec<String> =
            log.iter().filter_map(|record| record.failure.clone()).collect();
        Outcome {
            sent: log.len(),
            answered: log.iter().filter(|record| record.is_success()).count(),
            refused: refusals(log),
            answered_wrongly: log.iter().filter(|record| record.has_wrong_response()).count(),
            run_twice: log
                .iter()
                .filter(|record| record.kind == RequestKind::Booking && run_count(record) > 1)
                .count(),
            ran_although_not_run: log
                .iter()
                .filter(has_not_run_verdict)
                .filter(|record| run_count(record) > 0)
                .count(),
            cut: cut_reasons.len() + aborted_by_shutdown as usize,
            detection_ms: detection
                .map(|change| change.at.duration_since(times.fault_at).as_millis()),
            return_ms: times.returned_at.map(|at| (at - times.repaired_at).as_millis()),
            false_ejections: false_ejections(observations, &times.faulty_server),
            lowest_capacity: observations.min_slots.clone(),
            floor: FLOOR_SLOTS,
            below_floor: observations.below_floor().into_iter().map(str::to_owned).collect(),
            cut_reasons,
        }
    }

    /// Returns the violated guarantees.
    pub(super) fn violated_guarantees(&self) -> Vec<String> {
        let mut violated = Vec::new();
        let mut check = |is_satisfied: bool, guarantee: &str| {
            if !is_satisfied {
                violated.push(guarantee.to_owned());
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
        violated
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

fn refusals(log: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut refused = BTreeMap::new();
    for response in log
        .iter()
        .filter(|record| !record.is_success())
        .filter_map(|record| record.response.as_ref())
    {
        let kind = format!("{} {} ({})", response.status, response.verdict, response.reason);
        *refused.entry(kind).or_default() += 1;
    }
    refused
}

/// Counts how often the health of a server without an injected fault became "steered" or "ejected".
/// Probation is not counted, because it follows an ejection.
fn false_ejections(observations: &Observations, faulty_server: &str) -> usize {
    let is_removed = |health: &str| matches!(health, "steered" | "ejected");
    observations
        .changes
        .iter()
        .filter(|change| change.server != faulty_server && is_removed(&change.health))
        .count()
}
