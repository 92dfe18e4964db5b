//! Results of one run and totals of many runs.

use serde::Serialize;
use std::time::Duration;

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct RunResult {
    /// Seconds from the fault until the server was first steered or ejected, for each faulty
    /// server. `None` when the trace ended before that.
    pub(super) detection_times: Vec<Option<f64>>,
    /// Seconds from the fault until the server was first ejected, for each faulty server. `None`
    /// when the trace ended before that.
    pub(super) ejection_times: Vec<Option<f64>>,
    pub(super) false_ejections: u64,
    pub(super) false_steers: u64,
    pub(super) healthy_time: Duration,
    /// Number of faulty servers at the arrival of a request, summed over all requests.
    pub(super) bad_arrivals: u64,
    /// Requests sent to faulty servers.
    pub(super) bad_sent: u64,
    /// Like `bad_arrivals` and `bad_sent`, but counted only from the time when traffic to a
    /// flapping server has stopped three times.
    pub(super) flap_arrivals: u64,
    pub(super) flap_sent: u64,
    pub(super) floor_violations: u64,
    /// Lowest healthy capacity minus the floor at any ejection, in slots.
    pub(super) lowest_margin: Option<i64>,
    pub(super) requests: u64,
    pub(super) refused: u64,
}

/// Totals of many runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Number of runs.
    pub runs: u64,
    /// Seconds from each detected fault until the faulty server was first steered or ejected. A
    /// steered server gets no more normal requests, but still last-resort and trial requests.
    #[serde(skip)]
    pub detection_times: Vec<f64>,
    /// Seconds from each fault until the first ejection of the faulty server, for the faulty
    /// servers that were ejected.
    #[serde(skip)]
    pub ejection_times: Vec<f64>,
    /// Number of faults that were not detected before the trace ended.
    pub missed: u64,
    /// Number of ejections of healthy servers.
    pub false_ejections: u64,
    /// Number of times that a healthy server was steered or ejected. A server that is only steered
    /// still counts as capacity.
    pub false_steers: u64,
    /// Time that servers were healthy, summed over all servers.
    pub healthy_time: Duration,
    /// Number of faulty servers at the arrival of a request, summed over all requests. Divided by
    /// the pool size, this sum is the number of requests that faulty servers would have received
    /// with an equal share. The sum is an integer, so that it does not depend on the order of the
    /// seeds.
    pub bad_arrivals: u64,
    /// Number of requests sent to faulty servers.
    pub bad_sent: u64,
    /// Like `bad_arrivals`, but counted only from the time when traffic to a flapping server has
    /// stopped three times.
    pub flap_arrivals: u64,
    /// Like `bad_sent`, but counted only from the time when traffic to a flapping server has
    /// stopped three times.
    pub flap_sent: u64,
    /// Number of ejections that left the healthy capacity below the floor.
    pub floor_violations: u64,
    /// Lowest healthy capacity minus the floor at any ejection, in slots.
    pub lowest_margin: Option<i64>,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that no server could accept.
    pub refused: u64,
}

impl Tally {
    pub(super) fn add(&mut self, result: RunResult) {
        self.runs += 1;
        for detection in result.detection_times {
            match detection {
                Some(seconds) => self.detection_times.push(seconds),
                None => self.missed += 1,
            }
        }
        self.ejection_times.extend(result.ejection_times.into_iter().flatten());
        self.false_ejections += result.false_ejections;
        self.false_steers += result.false_steers;
        self.healthy_time += result.healthy_time;
        self.bad_arrivals += result.bad_arrivals;
        self.bad_sent += result.bad_sent;
        self.flap_arrivals += result.flap_arrivals;
        self.flap_sent += result.flap_sent;
        self.floor_violations += result.floor_violations;
        self.lowest_margin = lowest(self.lowest_margin, result.lowest_margin);
        self.requests += result.requests;
        self.refused += result.refused;
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

    /// Returns a quantile of the detection time in seconds, or `None` without any fault. The
    /// detection time of a missed fault is infinite.
    pub fn detection_quantile(&self, quantile: f64) -> Option<f64> {
        quantile_of(&self.detection_times, self.missed, quantile)
    }

    /// Returns a quantile of the time to ejection in seconds, over the ejected faulty servers.
    pub fn ejection_quantile(&self, quantile: f64) -> Option<f64> {
        quantile_of(&self.ejection_times, 0, quantile)
    }
}

fn lowest(a: Option<i64>, b: Option<i64>) -> Option<i64> {
    a.into_iter().chain(b).min()
}

fn quantile_of(values: &[f64], missed: u64, quantile: f64) -> Option<f64> {
    let fault_count = values.len() + missed as usize;
    if fault_count == 0 {
        return None;
    }
    let rank = ((fault_count as f64 * quantile).ceil() as usize).clamp(1, fault_count) - 1;
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    Some(sorted.get(rank).copied().unwrap_or(f64::INFINITY))
}
