//! What an ingress does with an evicted attempt.

use fescuemux_core::placement::{EvictedAttempt, EvictionResponse};
use std::time::Duration;

/// An evicted attempt must run until another one has a slot in its place, unless its answer is
/// presumed lost, and through a planned stop in any case. Otherwise a stop that begins while the
/// request runs nowhere would cost the answer of a server that was working on it.
#[test]
fn an_evicted_attempt_runs_until_it_is_replaced() {
    struct Case {
        name: &'static str,
        attempt: EvictedAttempt,
        response: EvictionResponse,
    }
    let alone = EvictedAttempt {
        near_planned_stop: false,
        presumed_lost: false,
        other_has_slot: false,
        other_is_searching: false,
        may_replace: true,
    };
    let cases = [
        Case { name: "alone", attempt: alone, response: EvictionResponse::Replace },
        Case {
            name: "search under way",
            attempt: EvictedAttempt { other_is_searching: true, ..alone },
            response: EvictionResponse::Keep,
        },
        Case {
            name: "must not run twice, or no slot was found",
            attempt: EvictedAttempt { may_replace: false, ..alone },
            response: EvictionResponse::Keep,
        },
        Case {
            name: "replaced",
            attempt: EvictedAttempt { other_has_slot: true, ..alone },
            response: EvictionResponse::BreakOff,
        },
        Case {
            name: "presumed lost",
            attempt: EvictedAttempt { presumed_lost: true, other_is_searching: true, ..alone },
            response: EvictionResponse::BreakOff,
        },
        Case {
            name: "replaced around a stop",
            attempt: EvictedAttempt { other_has_slot: true, near_planned_stop: true, ..alone },
            response: EvictionResponse::Keep,
        },
        Case {
            name: "presumed lost around a stop",
            attempt: EvictedAttempt { presumed_lost: true, near_planned_stop: true, ..alone },
            response: EvictionResponse::Keep,
        },
    ];
    for case in cases {
        assert_eq!(case.attempt.response(), case.response, "{}", case.name);
    }
}

/// The longest requests of the users' routes take six times the mean. One of them must not be
/// presumed lost, also when the mean is underestimated by a fifth; but a hanging request must not keep
/// its slot for many times the usual time.
#[test]
fn only_an_attempt_beyond_the_longest_requests_is_presumed_lost() {
    for mean_ms in [1, 40, 90, 500, 1_600] {
        let mean = Duration::from_millis(mean_ms);
        let presumed_lost_after = EvictedAttempt::presumed_lost_after(mean.mul_f64(0.8));
        assert!(presumed_lost_after > mean * 6, "{mean_ms} ms: {presumed_lost_after:?}");
        assert!(presumed_lost_after < mean.max(Duration::from_millis(40)) * 12, "{mean_ms} ms");
    }
}
