use crate::support::ms;
use fescuemux_core::placement::{Refusal, RefusalReason, UnplacedRequest};

/// A search that had lost its slot to others 0.15 s before a SIGTERM was answered 504 right after
/// it, as no other slot was free at that moment: the stop cut a request. Calls that look on for
/// room hold the slots of their parents. After all processes were killed, every request of the
/// first second was refused, as no server had announced itself yet.
#[test]
fn requests_look_on_where_a_slot_may_come() {
    struct Case {
        name: &'static str,
        unplaced: UnplacedRequest,
        reason: RefusalReason,
        keeps_searching: bool,
    }
    let first = UnplacedRequest {
        nested: false,
        attempted: false,
        starting: false,
        stopping: false,
        time_left: ms(5_000),
        time_to_objective: ms(3_000),
        expected_running_time: ms(700),
    };
    let owed = UnplacedRequest { attempted: true, stopping: true, ..first };
    let call = UnplacedRequest { nested: true, ..first };
    let full = RefusalReason::Full;
    let cases = [
        Case { name: "first attempt", unplaced: first, reason: full, keeps_searching: false },
        Case {
            name: "first attempt, stopping",
            unplaced: UnplacedRequest { stopping: true, ..first },
            reason: full,
            keeps_searching: false,
        },
        Case {
            name: "repeat, not stopping",
            unplaced: UnplacedRequest { attempted: true, ..first },
            reason: full,
            keeps_searching: false,
        },
        Case { name: "repeat, stopping", unplaced: owed, reason: full, keeps_searching: true },
        Case {
            name: "repeat, stopping, too little time",
            unplaced: UnplacedRequest { time_left: ms(1_300), ..owed },
            reason: full,
            keeps_searching: false,
        },
        Case { name: "call without room", unplaced: call, reason: full, keeps_searching: false },
        Case {
            name: "call beyond the budget of repeats",
            unplaced: call,
            reason: RefusalReason::RetryBudget,
            keeps_searching: false,
        },
        Case {
            name: "call without a server",
            unplaced: call,
            reason: RefusalReason::NoServer,
            keeps_searching: true,
        },
        Case {
            name: "no server yet, after a start",
            unplaced: UnplacedRequest { starting: true, ..first },
            reason: RefusalReason::NoServer,
            keeps_searching: true,
        },
        Case {
            name: "no server yet, too late for the objective",
            unplaced: UnplacedRequest { starting: true, time_to_objective: ms(1_300), ..first },
            reason: RefusalReason::NoServer,
            keeps_searching: false,
        },
        Case {
            name: "no server, long after the start",
            unplaced: first,
            reason: RefusalReason::NoServer,
            keeps_searching: false,
        },
        Case {
            name: "full, after a start",
            unplaced: UnplacedRequest { starting: true, ..first },
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
