//! What one run and many runs show.

use serde::Serialize;
use std::time::Duration;

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// Seconds from the fault to the end of normal traffic, one for each sick server; `None` when
    /// the trace ended first.
    pub(super) detection_times: Vec<Option<f64>>,
    /// The same until the server was ejected.
    pub(super) ejection_times: Vec<Option<f64>>,
    pub(super) false_ejections: u64,
    pub(super) false_steers: u64,
    pub(super) healthy_time: Duration,
    /// Bad servers at each arrival, summed, and the requests that bad servers received.
    pub(super) bad_arrivals: u64,
    pub(super) bad_sent: u64,
    /// The same after the third flap.
    pub(super) flap_arrivals: u64,
    pub(super) flap_sent: u64,
    pub(super) floor_violations: u64,
    /// Lowest healthy capacity minus floor, in slots, seen at an ejection.
    pub(super) lowest_margin: Option<i64>,
    pub(super) requests: u64,
    pub(super) refused: u64,
}

/// Sum of many runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Runs.
    pub runs: u64,
    /// Seconds from a fault to the end of normal traffic, of the faults that were detected.
    #[serde(skip)]
    pub detection_times: Vec<f64>,
    /// Seconds from a fault to the ejection.
    #[serde(skip)]
    pub ejection_times: Vec<f64>,
    /// Faults that were not detected within the trace.
    pub missed: u64,
    /// Healthy servers ejected.
    pub false_ejections: u64,
    /// Healthy servers steered, which removes no capacity.
    pub false_steers: u64,
    /// Time of healthy servers observed.
    pub healthy_time: Duration,
    /// Bad servers at each arrival, summed; divided by the pool size, the requests that they
    /// would have received with an equal share. Integers, so that the order of seeds does not
    /// change a sum.
    pub bad_arrivals: u64,
    /// Requests that bad servers received.
    pub bad_sent: u64,
    /// Like `bad_arrivals`, after the third flap.
    pub flap_arrivals: u64,
    /// Like `bad_sent`, after the third flap.
    pub flap_sent: u64,
    /// Ejections that left the fleet below the floor.
    pub floor_violations: u64,
    /// Lowest healthy capacity minus floor, in slots, seen at an ejection.
    pub lowest_margin: Option<i64>,
    /// Requests.
    pub requests: u64,
    /// Requests that no server had room for.
    pub refused: u64,
}

impl Tally {
    pub(super) fn add(&mut self, outcome: Outcome) {
        self.runs += 1;
        for detection in outcome.detection_times {
            match detection {
                Some(seconds) => self.detection_times.push(seconds),
                None => self.missed += 1,
            }
        }
        self.ejection_times.extend(outcome.ejection_times.into_iter().flatten());
        self.false_ejections += outcome.false_ejections;
        self.false_steers += outcome.false_steers;
        self.healthy_time += outcome.healthy_time;
        self.bad_arrivals += outcome.bad_arrivals;
        self.bad_sent += outcome.bad_sent;
        self.flap_arrivals += outcome.flap_arrivals;
        self.flap_sent += outcome.flap_sent;
        self.floor_violations += outcome.floor_violations;
        self.lowest_margin = lowest(self.lowest_margin, outcome.lowest_margin);
        self.requests += outcome.requests;
        self.refused += outcome.refused;
    }

    pub(super) fn merge(&mut self, other: Tally) {
        self.runs += other.runs;
        self.detection_times.extend(other.detection_times);
        self.ejection_times.extend(other.ejection_times);
        self.missed += other.missed;
        self.false_ejections += other.false_ejections;
        self.false_steers += other.false_steers;
        self.healthy_time += other.healthy_time;
        self.bad_arrivals += other.bad_arrivals;
        self.bad_sent += other.bad_sent;
        self.flap_arrivals += other.flap_arrivals;
        self.flap_sent += other.flap_sent;
        self.floor_violations += other.floor_violations;
        self.lowest_margin = lowest(self.lowest_margin, other.lowest_margin);
        self.requests += other.requests;
        self.refused += other.refused;
    }

    /// Returns a quantile of the detection time in seconds. Missed faults count as infinitely
    /// late; `None` without any fault.
    pub fn detection_quantile(&self, quantile: f64) -> Option<f64> {
        quantile_of(&self.detection_times, self.missed, quantile)
    }

    /// Returns a quantile of the time to ejection in seconds, of the servers that were ejected.
    pub fn ejection_quantile(&self, quantile: f64) -> Option<f64> {
        quantile_of(&self.ejection_times, 0, quantile)
    }
}

fn lowest(a: Option<i64>, b: Option<i64>) -> Option<i64> {
    a.into_iter().chain(b).min()
}

fn quantile_of(values: &[f64], missed: u64, quantile: f64) -> Option<f64> {
    let all = values.len() + missed as usize;
    if all == 0 {
        return None;
    }
    let rank = ((all as f64 * quantile).ceil() as usize).clamp(1, all) - 1;
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    Some(sorted.get(rank).copied().unwrap_or(f64::INFINITY))
}
