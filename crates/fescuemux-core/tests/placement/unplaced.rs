use crate::support::ms;
use fescuemux_core::placement::{Refusal, RefusalReason, Unplaced};

/// A search that had lost its slot to others 0.15 s before a SIGTERM was answered 504 right after
/// it, as no other slot was free at that moment: the stop cut a request. Calls that look on for
/// room hold the slots of their parents. After all processes were killed, every request of the
/// first second was refused, as no server had announced itself yet.
#[test]
fn requests_look_on_where_a_slot_may_come() {
    struct Case {
        name: &'static str,
        unplaced: Unplaced,
        reason: RefusalReason,
        looks_on: bool,
    }
    let first = Unplaced {
        nested: false,
        again: false,
        starting: false,
        stopping: false,
        left: ms(5_000),
        objective: ms(3_000),
        running: ms(700),
    };
    let owed = Unplaced { again: true, stopping: true, ..first };
    let call = Unplaced { nested: true, ..first };
    let full = RefusalReason::Full;
    let cases = [
        Case { name: "first attempt", unplaced: first, reason: full, looks_on: false },
        Case {
            name: "first attempt, stopping",
            unplaced: Unplaced { stopping: true, ..first },
            reason: full,
            looks_on: false,
        },
        Case {
            name: "repeat, not stopping",
            unplaced: Unplaced { again: true, ..first },
            reason: full,
            looks_on: false,
        },
        Case { name: "repeat, stopping", unplaced: owed, reason: full, looks_on: true },
        Case {
            name: "repeat, stopping, too little time",
            unplaced: Unplaced { left: ms(1_300), ..owed },
            reason: full,
            looks_on: false,
        },
        Case { name: "call without room", unplaced: call, reason: full, looks_on: false },
        Case {
            name: "call beyond the budget of repeats",
            unplaced: call,
            reason: RefusalReason::RepeatBudget,
            looks_on: false,
        },
        Case {
            name: "call without a server",
            unplaced: call,
            reason: RefusalReason::NoServer,
            looks_on: true,
        },
        Case {
            name: "no server yet, after a start",
            unplaced: Unplaced { starting: true, ..first },
            reason: RefusalReason::NoServer,
            looks_on: true,
        },
        Case {
            name: "no server yet, too late for the objective",
            unplaced: Unplaced { starting: true, objective: ms(1_300), ..first },
            reason: RefusalReason::NoServer,
            looks_on: false,
        },
        Case {
            name: "no server, long after the start",
            unplaced: first,
            reason: RefusalReason::NoServer,
            looks_on: false,
        },
        Case {
            name: "full, after a start",
            unplaced: Unplaced { starting: true, ..first },
            reason: full,
            looks_on: false,
        },
    ];
    for case in cases {
        let refusal = Refusal { reason: case.reason, retry_in: ms(300) };
        assert_eq!(case.unplaced.keeps_looking(&refusal), case.looks_on, "{}", case.name);
    }
}
