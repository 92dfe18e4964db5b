//! Counters and histograms of one target.

use super::outcome::{CheckResult, CompleteResponse, Failure, Outcome};
use super::quantiles::DurationHistogram;
use super::report::{Checks, LatencyWindow, TargetReport};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of time windows of the latency over time.
const MAX_WINDOWS: u32 = 60;
/// Minimum length of a time window of the latency over time.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of failed checks that are reported with their description.
const MAX_EXAMPLES: usize = 5;
/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Significant digits of the histogram of a time window, which is only plotted.
const WINDOW_SIGNIFICANT_DIGITS: u8 = 2;

/// Counters and histograms of one target.
#[derive(Debug)]
pub(crate) struct Totals {
    name: String,
    warm_up: Duration,
    window_length: Duration,
    require_checks: bool,
    scheduled: u64,
    warm_up_requests: u64,
    answered: u64,
    statuses: BTreeMap<u16, u64>,
    verdicts: BTreeMap<&'static str, u64>,
    failures: BTreeMap<&'static str, u64>,
    checks: Checks,
    latency: DurationHistogram,
    send_delay: DurationHistogram,
    windows: Vec<DurationHistogram>,
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
            window_length: (duration / MAX_WINDOWS).max(MIN_WINDOW),
            require_checks,
            scheduled: 0,
            warm_up_requests: 0,
            answered: 0,
            statuses: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            failures: BTreeMap::new(),
            checks: Checks::default(),
            latency: DurationHistogram::new(SIGNIFICANT_DIGITS),
            send_delay: DurationHistogram::new(SIGNIFICANT_DIGITS),
            windows: Vec::new(),
        }
    }

    /// Records an outcome. Of the warm-up, only the number of requests and the failed checks are
    /// recorded: a wrong response is a fault at any time.
    pub(crate) fn record(&mut self, outcome: Outcome) {
        let Some(offset) = outcome.intended_offset.checked_sub(self.warm_up) else {
            self.warm_up_requests += 1;
            if let Ok(CompleteResponse { check: CheckResult::Failed(reason), .. }) = outcome.result
            {
                self.record_failed_check(reason);
            }
            return;
        };
        self.scheduled += 1;
        let has_latency = match &outcome.result {
            Ok(_) => true,
            // The timeout is a lower bound of the latency. Without it, the slowest requests would
            // be missing from the quantiles.
            Err(failure) => *failure == Failure::Timeout,
        };
        if has_latency {
            self.latency.record(outcome.latency);
            self.send_delay.record(outcome.send_delay);
            self.window_at(offset).record(outcome.latency);
        }
        match outcome.result {
            Ok(response) => self.record_response(response),
            Err(failure) => *self.failures.entry(failure.as_str()).or_default() += 1,
        }
    }

    fn record_response(&mut self, response: CompleteResponse) {
        self.answered += 1;
        *self.statuses.entry(response.status).or_default() += 1;
        *self.verdicts.entry(response.verdict).or_default() += 1;
        match response.check {
            CheckResult::Passed => self.checks.passed += 1,
            CheckResult::Failed(reason) => self.record_failed_check(reason),
            CheckResult::NotCheckable if self.require_checks && response.status == 200 => {
                self.record_failed_check(
                    "the answer does not come from a stand-in server".to_owned(),
                );
            }
            CheckResult::NotCheckable => self.checks.unchecked += 1,
        }
    }

    fn record_failed_check(&mut self, reason: String) {
        self.checks.failed += 1;
        if self.checks.examples.len() < MAX_EXAMPLES {
            self.checks.examples.push(reason);
        }
    }

    fn window_at(&mut self, offset: Duration) -> &mut DurationHistogram {
        let index = (offset.as_nanos() / self.window_length.as_nanos()) as usize;
        if self.windows.len() <= index {
            self.windows
                .resize_with(index + 1, || DurationHistogram::new(WINDOW_SIGNIFICANT_DIGITS));
        }
        &mut self.windows[index]
    }

    /// Returns a short summary for progress lines.
    pub(crate) fn progress(&self) -> String {
        let failures: u64 = self.failures.values().sum();
        format!(
            "{} {} answered, {failures} failed, {} failed checks, p99 {:.1} ms",
            self.name,
            self.answered,
            self.checks.failed,
            self.latency.value_at(0.99) as f64 / 1000.0
        )
    }

    pub(crate) fn report(&self) -> TargetReport {
        let windows = (0..).zip(&self.windows).filter(|(_, times)| times.count() > 0);
        let latency_window = |(index, times): (u32, &DurationHistogram)| LatencyWindow {
            at_s: (self.window_length * index).as_secs_f64(),
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
            send_delay: self.send_delay.quantiles(),
            curve: self.latency.curve(),
            over_time: windows.map(latency_window).collect(),
        }
    }
}
