use crate::support::ms;
use fescuemux_core::placement::{Refusal, SlotRefusalReason, UnplacedRequest};

/// Guards against three failures. A request lost its slot 0.15 s before a SIGTERM and was answered
/// 504 right after the signal, because no other slot was free at that moment. Nested requests that
/// continue to search while servers are full hold the slots of their parents in vain. After all
/// processes were killed, every request of the first second was refused, because no server had
/// registered yet.
#[test]
fn refusal_request_and_time_left_decide_whether_the_search_continues() {
    struct Case {
        name: &'static str,
        unplaced: UnplacedRequest,
        reason: SlotRefusalReason,
        keeps_searching: bool,
    }
    let first_attempt = UnplacedRequest {
        nested: false,
        idempotent_retry: false,
        starting: false,
        stopping: false,
        time_left: ms(5_000),
        time_to_objective: ms(3_000),
        expected_running_time: ms(700),
    };
    let retry_while_stopping =
        UnplacedRequest { idempotent_retry: true, stopping: true, ..first_attempt };
    let nested = UnplacedRequest { nested: true, ..first_attempt };
    let full = SlotRefusalReason::Full;
    let cases = [
        Case {
            name: "first attempt",
            unplaced: first_attempt,
            reason: full,
            keeps_searching: false,
        },
        Case {
            name: "first attempt, shutting down",
            unplaced: UnplacedRequest { stopping: true, ..first_attempt },
            reason: full,
            keeps_searching: false,
        },
        Case {
            name: "retry, not shutting down",
            unplaced: UnplacedRequest { idempotent_retry: true, ..first_attempt },
            reason: full,
            keeps_searching: false,
        },
        Case {
            name: "retry, shutting down",
            unplaced: retry_while_stopping,
            reason: full,
            keeps_searching: true,
        },
        Case {
            name: "retry, shutting down, too little time",
            unplaced: UnplacedRequest { time_left: ms(1_300), ..retry_while_stopping },
            reason: full,
            keeps_searching: false,
        },
        Case { name: "nested, full", unplaced: nested, reason: full, keeps_searching: false },
        Case {
            name: "nested, retry budget exhausted",
            unplaced: nested,
            reason: SlotRefusalReason::RetryBudget,
            keeps_searching: false,
        },
        Case {
            name: "nested, no server",
            unplaced: nested,
            reason: SlotRefusalReason::NoServer,
            keeps_searching: true,
        },
        Case {
            name: "no server yet, after a start",
            unplaced: UnplacedRequest { starting: true, ..first_attempt },
            reason: SlotRefusalReason::NoServer,
            keeps_searching: true,
        },
        Case {
            name: "no server yet, too late for the objective",
            unplaced: UnplacedRequest {
                starting: true,
                time_to_objective: ms(1_300),
                ..first_attempt
            },
            reason: SlotRefusalReason::NoServer,
            keeps_searching: false,
        },
        Case {
            name: "no server, long after the start",
            unplaced: first_attempt,
            reason: SlotRefusalReason::NoServer,
            keeps_searching: false,
        },
        Case {
            name: "full, after a start",
            unplaced: UnplacedRequest { starting: true, ..first_attempt },
            reason: full,
            keeps_searching: false,
        },
    ];
    for case in cases {
        let refusal = Refusal { reason: case.reason, retry_in: ms(300) };
        assert_eq!(
            case.unplaced.should_keep_searching(&refusal),
            case.keeps_searching,
            "{}",
            case.name
        );
    }
}
