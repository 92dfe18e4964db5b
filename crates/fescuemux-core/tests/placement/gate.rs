use crate::support::{ms, open_gate, report, work};
use fescuemux_core::placement::{
    Admission, AdmissionController, Precedence, Readiness, RefusalReason, RequestOutcome,
    ServerPhase, SlotRequest,
};
use std::time::Instant;

fn fill(gate: &mut AdmissionController, now: Instant) {
    for ticket in 1..=4 {
        assert_eq!(gate.request_slot(now, ticket, work(now)), Admission::Granted);
        assert!(gate.start(now, ticket));
    }
}

fn reason(admission: Admission) -> Option<RefusalReason> {
    match admission {
        Admission::Refused(refusal) => Some(refusal.reason),
        Admission::Granted | Admission::Queued(_) => None,
    }
}

/// A server runs no more requests at once than it has slots.
#[test]
fn slots_bound_the_requests_at_a_server() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    fill(&mut gate, now);
    assert!(matches!(gate.request_slot(now, 5, work(now)), Admission::Queued(_)));
    gate.finish(now + ms(300), 1, RequestOutcome::Answered);
    assert_eq!(gate.advance(now + ms(300)), vec![(5, Admission::Granted)]);
}

/// A daemon that was paused between grant and request must not run a request that its ingress
/// has long sent elsewhere.
#[test]
fn a_grant_runs_out() {
    struct Case {
        after_ms: u64,
        begins: bool,
    }
    let cases = [
        Case { after_ms: 0, begins: true },
        Case { after_ms: 240, begins: true },
        Case { after_ms: 260, begins: false },
        Case { after_ms: 4_000, begins: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        assert_eq!(gate.request_slot(now, 1, work(now)), Admission::Granted);
        let begins = gate.start(now + ms(case.after_ms), 1);
        assert_eq!(begins, case.begins, "after {} ms", case.after_ms);
        assert!(!gate.start(now + ms(case.after_ms), 2), "a ticket without a grant");
    }
}

/// A grant that is never used must not take its slot away for good.
#[test]
fn an_unused_grant_frees_its_slot() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    for ticket in 1..=4 {
        assert_eq!(gate.request_slot(now, ticket, work(now)), Admission::Granted);
    }
    assert!(matches!(gate.request_slot(now, 5, work(now)), Admission::Queued(_)));
    assert_eq!(gate.advance(now + ms(300)), vec![(5, Admission::Granted)]);
    assert_eq!(gate.busy(), 1);
}

/// After the acknowledgement that a server leaves, neither waiting nor granted requests reach it.
#[test]
fn a_leaving_server_gets_nothing_more() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    fill(&mut gate, now);
    assert!(matches!(gate.request_slot(now, 5, work(now)), Admission::Queued(_)));
    gate.finish(now, 1, RequestOutcome::Answered);
    assert_eq!(gate.advance(now), vec![(5, Admission::Granted)]);
    let mut draining = report("server-1", 1, 2);
    draining.phase = ServerPhase::Draining;
    assert!(gate.on_report(now, draining));
    assert!(!gate.start(now, 5), "a grant from before the acknowledgement");
    assert_eq!(reason(gate.request_slot(now, 6, work(now))), Some(RefusalReason::Draining));
    assert_eq!(
        gate.load_report(now, Precedence::top_level(1), 7, ms(400)).readiness,
        Readiness::Closed
    );
    gate.on_server_left(5, "server-1");
    assert_eq!(reason(gate.request_slot(now, 7, work(now))), Some(RefusalReason::NoServer));
}

/// A daemon that stops refuses new work at once and keeps what runs.
#[test]
fn a_stopping_daemon_refuses_new_work() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    fill(&mut gate, now);
    assert!(matches!(gate.request_slot(now, 5, work(now)), Admission::Queued(_)));
    gate.stop();
    let decided = gate.advance(now);
    assert_eq!(decided.len(), 1);
    assert_eq!(reason(decided[0].1), Some(RefusalReason::Stopping));
    assert_eq!(gate.busy(), 4);
}

/// Calls of running work go first, or a service whose slots all wait for each other stands still.
#[test]
fn waiting_requests_have_an_order() {
    struct Case {
        name: &'static str,
        first: fn(SlotRequest) -> SlotRequest,
        second: fn(SlotRequest) -> SlotRequest,
        goes: u64,
    }
    let cases = [
        Case { name: "equal: the older", first: |w| w, second: later, goes: 5 },
        Case {
            name: "rank",
            first: |w| SlotRequest { priority: 2, ..w },
            second: |w| SlotRequest { priority: 1, ..later(w) },
            goes: 6,
        },
        Case {
            name: "nested before rank",
            first: |w| SlotRequest { priority: 0, ..w },
            second: |w| SlotRequest { nested: true, priority: 2, ..later(w) },
            goes: 6,
        },
        Case {
            name: "calls: the lower lot",
            first: |w| SlotRequest { nested: true, random_priority: 9, ..w },
            second: |w| SlotRequest { nested: true, random_priority: 3, ..later(w) },
            goes: 6,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        fill(&mut gate, now);
        assert!(matches!(gate.request_slot(now, 5, (case.first)(work(now))), Admission::Queued(_)));
        assert!(matches!(
            gate.request_slot(now, 6, (case.second)(work(now))),
            Admission::Queued(_)
        ));
        gate.finish(now, 1, RequestOutcome::Answered);
        assert_eq!(gate.advance(now), vec![(case.goes, Admission::Granted)], "{}", case.name);
    }
}

fn later(work: SlotRequest) -> SlotRequest {
    SlotRequest { objective: work.objective + ms(100), deadline: work.deadline + ms(100), ..work }
}

/// Without a bound, every request of an overloaded service is answered too late.
#[test]
fn the_queue_is_bounded_by_the_objective() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    fill(&mut gate, now);
    let mut queued = 0;
    for ticket in 5..100 {
        match gate.request_slot(now, ticket, work(now)) {
            Admission::Queued(wait) => {
                assert!(wait <= ms(1_500), "a wait of {wait:?} leaves no time to run");
                queued += 1;
            }
            Admission::Refused(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::TooLate);
                assert!(refusal.retry_in > ms(0));
            }
            Admission::Granted => panic!("no slot is free"),
        }
    }
    assert!(queued >= 4, "a short queue keeps the slots busy, {queued} waited");
}

/// New work that has waited until its objective gives its place up. A call gives up after a third
/// of its time: the request that makes it holds a slot elsewhere for nothing.
#[test]
fn waiting_ends() {
    struct Case {
        nested: bool,
        after_ms: u64,
        refused: bool,
    }
    let cases = [
        Case { nested: false, after_ms: 500, refused: false },
        Case { nested: false, after_ms: 2_000, refused: true },
        Case { nested: true, after_ms: 500, refused: false },
        Case { nested: true, after_ms: 1_000, refused: true },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        // The running requests are expected to be long, so that the server is not doubted.
        for ticket in 1..=4 {
            let long = SlotRequest { expected_running_time: ms(5_000), ..work(now) };
            assert_eq!(gate.request_slot(now, ticket, long), Admission::Granted);
            assert!(gate.start(now, ticket));
        }
        let waits = SlotRequest { nested: case.nested, ..work(now) };
        assert!(matches!(gate.request_slot(now, 5, waits), Admission::Queued(_)));
        let decided = gate.advance(now + ms(case.after_ms));
        let refused = decided.iter().any(|(_, admission)| reason(*admission).is_some());
        assert_eq!(refused, case.refused, "nested {}, {} ms", case.nested, case.after_ms);
    }
}

/// A server without any recent request is offered as idle, so that it shows whether it works.
#[test]
fn an_unused_server_is_idle() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    assert_eq!(
        gate.load_report(now, Precedence::top_level(1), 7, ms(400)).readiness,
        Readiness::Open
    );
    assert_eq!(
        gate.load_report(now + ms(1_700), Precedence::top_level(1), 7, ms(400)).readiness,
        Readiness::Idle
    );
    assert_eq!(gate.request_slot(now + ms(1_700), 1, work(now + ms(1_700))), Admission::Granted);
    assert_eq!(
        gate.load_report(now + ms(1_800), Precedence::top_level(1), 7, ms(400)).readiness,
        Readiness::Open
    );
}

/// Slots of hanging requests do not become free soon, so they must not shorten the wait.
#[test]
fn hanging_requests_lengthen_the_wait() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    fill(&mut gate, now);
    let early = gate.load_report(now + ms(100), Precedence::top_level(1), 7, ms(400)).expected_wait;
    let late =
        gate.load_report(now + ms(2_500), Precedence::top_level(1), 7, ms(400)).expected_wait;
    assert!(late > early * 4, "{early:?} to {late:?}");
}

/// Requests that hang for twenty seconds would hold all slots of a small service. They lose
/// their slots to requests that wait, but not without need, and not while the daemon stops.
#[test]
fn hanging_requests_lose_their_slots_to_those_that_wait() {
    struct Case {
        name: &'static str,
        after_ms: u64,
        waiting: u64,
        stopping: bool,
        evicted: usize,
    }
    let cases = [
        Case { name: "nobody waits", after_ms: 20_000, waiting: 0, stopping: false, evicted: 0 },
        Case { name: "too early", after_ms: 1_200, waiting: 2, stopping: false, evicted: 0 },
        Case { name: "one for each", after_ms: 9_000, waiting: 1, stopping: false, evicted: 1 },
        Case { name: "stopping", after_ms: 9_000, waiting: 1, stopping: true, evicted: 0 },
    ];
    for case in cases {
        let start = Instant::now();
        let mut gate = open_gate(start);
        let long = SlotRequest { deadline: start + ms(25_000), ..work(start) };
        for ticket in 1..=4 {
            assert_eq!(gate.request_slot(start, ticket, long.clone()), Admission::Granted);
            assert!(gate.start(start, ticket));
        }
        let now = start + ms(case.after_ms);
        for ticket in 0..case.waiting {
            let nested = SlotRequest { nested: true, deadline: now + ms(25_000), ..work(now) };
            let queued =
                matches!(gate.request_slot(now, 10 + ticket, nested), Admission::Queued(_));
            assert!(queued || case.evicted == 0, "{}", case.name);
        }
        if case.stopping {
            gate.stop();
        }
        assert_eq!(gate.evict(now).len(), case.evicted, "{}", case.name);
        assert_eq!(gate.evict(now), Vec::new(), "{}: told once", case.name);
    }
}

/// A server that is doubted has nobody who waits, so requests that hang kept all of its slots
/// until their deadlines, long after its fault had ended.
#[test]
fn a_doubted_server_with_hanging_requests_gets_a_free_slot() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    let long = SlotRequest { deadline: start + ms(25_000), ..work(start) };
    for ticket in 1..=4 {
        assert_eq!(gate.request_slot(start, ticket, long.clone()), Admission::Granted);
        assert!(gate.start(start + ms(ticket), ticket));
    }
    let now = start + ms(4_000);
    assert!(gate.failure_probability(now) > 0.9);
    let nested = SlotRequest { nested: true, deadline: now + ms(2_000), ..work(now) };
    assert_eq!(
        reason(gate.request_slot(now, 5, nested.clone())),
        Some(RefusalReason::LikelyFaulty)
    );
    assert_eq!(gate.evict(now), vec![1], "the longest running one");
    assert_eq!(gate.evict(now + ms(100)), Vec::new(), "one at a time");
    assert_eq!(gate.evict(now + ms(600)), vec![2], "the first did not leave");
    gate.finish(now + ms(610), 1, RequestOutcome::Abandoned);
    assert_eq!(gate.request_slot(now + ms(620), 6, nested), Admission::Granted);
    assert!(gate.start(now + ms(620), 6));
    let doubt = gate.failure_probability(now + ms(700));
    gate.finish(now + ms(900), 6, RequestOutcome::Answered);
    assert!(gate.failure_probability(now + ms(900)) < doubt);
}

/// Requests that come later go first when they are calls or have a better rank, so those that
/// wait now do not tell how long a request will wait. Callers were refused after seconds that
/// could have been refused at once.
#[test]
fn the_pace_of_a_rank_tells_its_wait() {
    let start = Instant::now();
    let mut gate = open_gate(start);
    fill(&mut gate, start);
    let urgent = |now| SlotRequest { priority: 0, expected_running_time: ms(200), ..work(now) };
    let patient = |now| SlotRequest { priority: 2, objective: now + ms(2_000), ..work(now) };
    assert!(matches!(gate.request_slot(start, 100, patient(start)), Admission::Queued(_)));
    let mut running: Vec<_> = (1..=4).collect();
    for step in 1..=12 {
        let now = start + ms(100 * step);
        assert!(matches!(gate.request_slot(now, 10 + step, urgent(now)), Admission::Queued(_)));
        gate.finish(now, running.remove(0), RequestOutcome::Answered);
        assert_eq!(gate.advance(now), vec![(10 + step, Admission::Granted)], "step {step}");
        assert!(gate.start(now, 10 + step));
        running.push(10 + step);
    }
    let now = start + ms(1_250);
    let refusal = gate.request_slot(now, 101, patient(now));
    assert_eq!(reason(refusal), Some(RefusalReason::TooLate));
    assert!(
        matches!(gate.request_slot(now, 102, urgent(now)), Admission::Queued(_)),
        "its rank goes on"
    );
}

/// Nobody waits for the slots of a server that probably fails; others serve them sooner.
#[test]
fn nobody_waits_at_a_doubted_server() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    for ticket in 1..=6 {
        assert_eq!(gate.request_slot(now, ticket, work(now)), Admission::Granted);
        assert!(gate.start(now, ticket));
        if ticket <= 2 {
            gate.finish(now, ticket, RequestOutcome::Failed);
        }
    }
    assert_eq!(reason(gate.request_slot(now, 7, work(now))), Some(RefusalReason::LikelyFaulty));
}
