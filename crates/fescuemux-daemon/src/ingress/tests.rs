//! Unit tests of the ingress.

use super::ErrorResponse;
use super::attempt::{AttemptHistory, AttemptOutcome};
use fescuemux_core::base::Verdict;

struct VerdictCase {
    guards_against: &'static str,
    recorded: Vec<AttemptOutcome>,
    expected: Verdict,
}

#[test]
fn the_strongest_verdict_of_all_attempts_counts() {
    let refused = || AttemptOutcome::Declined(ErrorResponse::unavailable("refused"));
    let late = || AttemptOutcome::PathFailed(ErrorResponse::timed_out(Verdict::MayHaveRun));
    let cases = [
        VerdictCase {
            guards_against: "a verdict without an attempt",
            recorded: vec![],
            expected: Verdict::NotRun,
        },
        VerdictCase {
            guards_against: "a refused hedge that hides a first attempt that may have run",
            recorded: vec![late(), refused()],
            expected: Verdict::MayHaveRun,
        },
        VerdictCase {
            guards_against: "a refused first attempt that hides a hedge that may have run",
            recorded: vec![refused(), late()],
            expected: Verdict::MayHaveRun,
        },
        VerdictCase {
            guards_against: "an uncertain verdict where nothing was sent",
            recorded: vec![refused(), refused()],
            expected: Verdict::NotRun,
        },
    ];
    for case in cases {
        let mut history = AttemptHistory::default();
        for outcome in &case.recorded {
            history.record_verdict(outcome.verdict());
        }
        assert_eq!(history.earlier_verdict(), case.expected, "{}", case.guards_against);
    }
}
