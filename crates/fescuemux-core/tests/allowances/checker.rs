//! Check of the bound, independent of the product's own count, and tests of the check.

use fescuemux_core::allowances::{Allowance, AllowanceBounds};
use std::time::Duration;

/// Result of a customer's run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Times at which requests were sent to backend servers, ascending.
    pub(crate) sent: Vec<Duration>,
    /// Times at which requests were refused.
    pub(crate) refused: Vec<Duration>,
}

/// Returns by how many requests the worst window that starts at `from` or later exceeds the maximum.
pub(crate) fn excess(
    sent: &[Duration],
    bounds: &AllowanceBounds,
    allowance: &Allowance,
    from: Duration,
) -> f64 {
    let sent: Vec<_> = sent.iter().filter(|at| **at >= from).collect();
    let mut first = 0;
    let mut worst = 0.0_f64;
    for (last, at) in sent.iter().enumerate() {
        while **at - *sent[first] >= bounds.window {
            first += 1;
        }
        worst = worst.max((last - first + 1) as f64);
    }
    worst - bounds.maximum(allowance)
}

/// Returns the number of requests that were refused although the customer, with this request, had
/// sent no more than its allowance in the last window.
pub(crate) fn wrongly_refused(
    record: &Record,
    bounds: &AllowanceBounds,
    allowance: &Allowance,
) -> usize {
    let is_wrong = |at: &&Duration| {
        let until = record.sent.partition_point(|sent| sent <= *at);
        let from = record.sent.partition_point(|sent| *sent + bounds.window <= **at);
        (until - from + 1) as f64 <= bounds.allowed(allowance)
    };
    record.refused.iter().filter(is_wrong).count()
}

/// The check must find each faulty limiter, and accept one that uses the maximum exactly.
#[test]
fn checker_detects_faulty_limiters() {
    struct Case {
        name: &'static str,
        /// Returns whether the request at this time is sent, from those sent before.
        admits: fn(&[Duration], Duration, f64) -> bool,
        is_faulty: bool,
    }
    fn in_window(sent: &[Duration], now: Duration, window_ms: u64) -> f64 {
        let window = Duration::from_millis(window_ms);
        sent.iter().filter(|at| now - **at < window).count() as f64
    }
    let cases = [
        Case {
            name: "the maximum in each window",
            admits: |sent, now, maximum| in_window(sent, now, 5_000) + 1.0 <= maximum,
            is_faulty: false,
        },
        Case {
            name: "fixed windows instead of all windows",
            admits: |sent, now, maximum| {
                let start = Duration::from_secs(now.as_secs() / 5 * 5);
                (sent.iter().filter(|at| **at >= start).count() as f64) < maximum.floor()
            },
            is_faulty: true,
        },
        Case {
            name: "a window that is a tenth shorter",
            admits: |sent, now, maximum| in_window(sent, now, 4_500) + 1.0 <= maximum,
            is_faulty: true,
        },
        Case {
            name: "one request too many",
            admits: |sent, now, maximum| in_window(sent, now, 5_000) <= maximum,
            is_faulty: true,
        },
        Case { name: "no limit", admits: |_, _, _| true, is_faulty: true },
    ];
    let bounds = AllowanceBounds::default();
    let allowance = Allowance { rate: 20.0, burst: 10.0 };
    for case in cases {
        let mut sent = Vec::new();
        // Nothing until 3 s, so that a fixed window lets two bursts through in a row.
        for now in (300..2_000).map(|tick| Duration::from_millis(tick * 10)) {
            if (case.admits)(&sent, now, bounds.maximum(&allowance)) {
                sent.push(now);
            }
        }
        let found = excess(&sent, &bounds, &allowance, Duration::ZERO) > 0.0;
        assert_eq!(found, case.is_faulty, "{}", case.name);
    }
}
