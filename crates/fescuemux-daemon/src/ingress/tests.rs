//! Tests of the ingress's parts.

use super::ErrorResponse;
use super::attempt::{Attempted, Tried};
use fescuemux_core::base::Verdict;

struct VerdictCase {
    guards_against: &'static str,
    noted: Vec<Attempted>,
    expected: Verdict,
}

#[test]
fn the_strongest_verdict_of_all_attempts_counts() {
    let refused = || Attempted::Declined(ErrorResponse::unavailable("refused"));
    let late = || Attempted::PathFailed(ErrorResponse::timed_out(Verdict::MayHaveRun));
    let cases = [
        VerdictCase {
            guards_against: "a verdict without an attempt",
            noted: vec![],
            expected: Verdict::NotRun,
        },
        VerdictCase {
            guards_against: "a refused hedge that hides a first attempt that may have run",
            noted: vec![late(), refused()],
            expected: Verdict::MayHaveRun,
        },
        VerdictCase {
            guards_against: "a refused first attempt that hides a later one",
            noted: vec![refused(), late()],
            expected: Verdict::MayHaveRun,
        },
        VerdictCase {
            guards_against: "doubt where nothing was sent",
            noted: vec![refused(), refused()],
            expected: Verdict::NotRun,
        },
    ];
    for case in cases {
        let mut tried = Tried::default();
        for attempted in &case.noted {
            tried.note_verdict(attempted.verdict());
        }
        assert_eq!(tried.earlier(), case.expected, "{}", case.guards_against);
    }
}
