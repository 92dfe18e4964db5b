//! Counts of a run.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Counts of one second, by the arrival of the request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondCounts {
    /// Requests of callers.
    pub requests: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Attempts sent for them.
    pub sends: u64,
}

/// Counts of a run.
#[derive(Debug)]
pub struct Stats {
    /// One entry a second of virtual time.
    pub seconds: Vec<SecondCounts>,
    /// Time from arrival at the ingress to the start of the work, without network latency, in
    /// microseconds.
    pub wait: Histogram<u64>,
    /// Time from arrival at the ingress to the answer in time, in microseconds.
    pub latency: Histogram<u64>,
    /// Attempts that guards refused.
    pub refused: u64,
    /// Attempts whose work started after the caller's deadline.
    pub wasted: u64,
}

impl Default for Stats {
    fn default() -> Stats {
        // Three digits need no more than a few kilobytes, so the histogram may grow by itself.
        let mut wait = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| {
            unreachable!("the bounds are valid");
        });
        wait.auto(true);
        Stats { seconds: vec![], latency: wait.clone(), wait, refused: 0, wasted: 0 }
    }
}

impl Stats {
    pub(super) fn second(&mut self, arrived: Duration) -> &mut SecondCounts {
        let at = arrived.as_secs() as usize;
        if at >= self.seconds.len() {
            self.seconds.resize(at + 1, SecondCounts::default());
        }
        &mut self.seconds[at]
    }

    /// Adds up the seconds in `range`.
    pub fn sum(&self, range: std::ops::Range<usize>) -> SecondCounts {
        let end = range.end.min(self.seconds.len());
        let start = range.start.min(end);
        let mut sum = SecondCounts::default();
        for second in &self.seconds[start..end] {
            sum.requests += second.requests;
            sum.good += second.good;
            sum.sends += second.sends;
        }
        sum
    }
}

impl SecondCounts {
    /// Returns the share of requests answered in time.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.requests.max(1) as f64
    }

    /// Returns the attempts sent for each request.
    pub fn amplification(&self) -> f64 {
        self.sends as f64 / self.requests.max(1) as f64
    }
}
