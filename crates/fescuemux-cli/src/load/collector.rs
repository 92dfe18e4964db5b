//! Collection of the outcomes of a run, with progress lines.

use super::args::Args;
use super::outcome::Outcome;
use super::report::{AddedLatency, Report};
use super::totals::Totals;
use flume::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Time between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Collects the outcomes of a run and prints progress lines.
#[derive(Debug)]
pub(crate) struct Collector<'a> {
    args: &'a Args,
    totals: Vec<Totals>,
}

impl Collector<'_> {
    pub(crate) fn new(args: &Args) -> Collector<'_> {
        let totals = args
            .targets
            .iter()
            .map(|target| {
                Totals::new(&target.name, args.warm_up, args.duration, args.require_checks)
            })
            .collect();
        Collector { args, totals }
    }

    /// Records outcomes until the last sender is dropped, and returns the report.
    pub(crate) fn collect(mut self, rx: &Receiver<Outcome>) -> Report {
        let start = Instant::now();
        let mut next_progress = start + PROGRESS_INTERVAL;
        loop {
            match rx.recv_deadline(next_progress) {
                Ok(outcome) => self.totals[outcome.target].record(outcome),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.report(),
            }
            if Instant::now() >= next_progress {
                let summaries: Vec<String> = self.totals.iter().map(Totals::progress).collect();
                eprintln!("{:.0} s: {}", start.elapsed().as_secs_f64(), summaries.join("; "));
                next_progress += PROGRESS_INTERVAL;
            }
        }
    }

    fn report(self) -> Report {
        let args = self.args;
        let targets: Vec<_> = self.totals.iter().map(Totals::report).collect();
        let added = match targets.split_first() {
            Some((first, others)) => {
                others.iter().map(|target| AddedLatency::new(first, target)).collect()
            }
            None => Vec::new(),
        };
        Report {
            rate: args.rate,
            duration_s: args.duration.as_secs_f64(),
            warm_up_s: args.warm_up.as_secs_f64(),
            schedule: args.schedule,
            seed: args.seed,
            method: args.method.to_string(),
            path: args.path.clone(),
            body_bytes: args.body_bytes,
            answer_bytes: args.answer_bytes,
            connections: args.connections,
            targets,
            added,
        }
    }
}
