//! Counts and distributions of one target.

use super::outcome::{Answered, Check, Failure, Outcome};
use super::quantiles::Times;
use super::report::{Checks, Point, TargetReport};
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest number of windows of the latency over time.
const MAX_WINDOWS: u32 = 60;
/// Shortest window of the latency over time.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Number of failed checks that are reported with their text.
const MAX_EXAMPLES: usize = 5;
/// Significant digits of a distribution.
const DIGITS: u8 = 3;
/// Significant digits of a window's distribution, which only a plot shows.
const WINDOW_DIGITS: u8 = 2;

/// Counts and distributions of one target.
#[derive(Debug)]
pub(crate) struct Totals {
    name: String,
    warm_up: Duration,
    window: Duration,
    require_checks: bool,
    scheduled: u64,
    warm_up_requests: u64,
    answered: u64,
    statuses: BTreeMap<u16, u64>,
    verdicts: BTreeMap<&'static str, u64>,
    failures: BTreeMap<&'static str, u64>,
    checks: Checks,
    latency: Times,
    delay: Times,
    windows: Vec<Times>,
}

impl Totals {
    pub(crate) fn new(
        name: &str,
        warm_up: Duration,
        duration: Duration,
        require_checks: bool,
    ) -> Totals {
        Totals {
            name: name.to_owned(),
            warm_up,
            window: (duration / MAX_WINDOWS).max(MIN_WINDOW),
            require_checks,
            scheduled: 0,
            warm_up_requests: 0,
            answered: 0,
            statuses: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            failures: BTreeMap::new(),
            checks: Checks::default(),
            latency: Times::new(DIGITS),
            delay: Times::new(DIGITS),
            windows: Vec::new(),
        }
    }

    /// Counts an outcome. Of the warm-up only failed checks count, as a wrong answer is a
    /// fault at any time.
    pub(crate) fn record(&mut self, outcome: Outcome) {
        let Some(since) = outcome.intended.checked_sub(self.warm_up) else {
            self.warm_up_requests += 1;
            if let Ok(Answered { check: Check::Failed(reason), .. }) = outcome.result {
                self.failed_check(reason);
            }
            return;
        };
        self.scheduled += 1;
        let has_latency = match &outcome.result {
            Ok(_) => true,
            // A timeout is a lower bound of the latency; leaving it out would hide the slowest.
            Err(failure) => *failure == Failure::Timeout,
        };
        if has_latency {
            self.latency.record(outcome.latency);
            self.delay.record(outcome.delay);
            self.window_at(since).record(outcome.latency);
        }
        match outcome.result {
            Ok(answered) => self.answered(answered),
            Err(failure) => *self.failures.entry(failure.as_str()).or_default() += 1,
        }
    }

    fn answered(&mut self, answered: Answered) {
        self.answered += 1;
        *self.statuses.entry(answered.status).or_default() += 1;
        *self.verdicts.entry(answered.verdict).or_default() += 1;
        match answered.check {
            Check::Passed => self.checks.passed += 1,
            Check::Failed(reason) => self.failed_check(reason),
            Check::Impossible if self.require_checks && answered.status == 200 => {
                self.failed_check("the answer does not come from a stand-in server".to_owned());
            }
            Check::Impossible => self.checks.unchecked += 1,
        }
    }

    fn failed_check(&mut self, reason: String) {
        self.checks.failed += 1;
        if self.checks.examples.len() < MAX_EXAMPLES {
            self.checks.examples.push(reason);
        }
    }

    fn window_at(&mut self, since: Duration) -> &mut Times {
        let index = (since.as_nanos() / self.window.as_nanos()) as usize;
        if self.windows.len() <= index {
            self.windows.resize_with(index + 1, || Times::new(WINDOW_DIGITS));
        }
        &mut self.windows[index]
    }

    /// Returns the state in a few words, for progress lines.
    pub(crate) fn progress(&self) -> String {
        let failures: u64 = self.failures.values().sum();
        format!(
            "{} {} answered, {failures} failed, {} failed checks, p99 {:.1} ms",
            self.name,
            self.answered,
            self.checks.failed,
            self.latency.at(0.99) as f64 / 1000.0
        )
    }

    pub(crate) fn report(&self) -> TargetReport {
        let windows = (0..).zip(&self.windows).filter(|(_, times)| times.count() > 0);
        let point = |(index, times): (u32, &Times)| Point {
            at_s: (self.window * index).as_secs_f64(),
            times: times.quantiles(),
        };
        TargetReport {
            name: self.name.clone(),
            scheduled: self.scheduled,
            warm_up_requests: self.warm_up_requests,
            answered: self.answered,
            statuses: self.statuses.clone(),
            verdicts: self.verdicts.clone(),
            failures: self.failures.clone(),
            checks: self.checks.clone(),
            latency: self.latency.quantiles(),
            send_delay: self.delay.quantiles(),
            curve: self.latency.curve(),
            over_time: windows.map(point).collect(),
        }
    }
}
