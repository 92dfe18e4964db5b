//! Checkers on small handwritten histories.

use crate::history::{Event, HistoryEntry, Property, check};
use fescuemux_core::base::Verdict;
use fescuemux_core::config::ConfirmOutcome;
use std::time::Duration;

struct Case {
    name: &'static str,
    history: Vec<(u64, Event)>,
    violated: Option<Property>,
}

fn sent(op: u64, send: u64, keyed: bool) -> Event {
    Event::Sent { op, send, instance: 0, idempotent: false, keyed }
}

fn executed(op: u64, send: u64) -> Event {
    Event::Executed { server: 1, op, send }
}

fn answered(send: u64, verdict: Verdict, body: Option<(u64, bool)>) -> Event {
    Event::Answered { send, verdict, body }
}

fn in_force(instance: usize, generation: u64, plan: u128) -> Event {
    Event::InForce { instance, generation, plan }
}

fn told(plan: u128, generation: u64) -> Event {
    Event::Told { plan, outcome: ConfirmOutcome::Confirmed(generation) }
}

fn all_up() -> Vec<(u64, Event)> {
    (0..5).map(|instance| (0, Event::Up { instance })).collect()
}

fn ledger(held: &[usize]) -> Event {
    Event::Ledger { service: 1, held: held.to_vec() }
}

fn all_in_force(at: u64, generation: u64, plan: u128) -> Vec<(u64, Event)> {
    (0..5).map(|instance| (at, in_force(instance, generation, plan))).collect()
}

/// Guards against checkers that miss a violation or report a permitted history.
#[test]
fn checkers_classify_small_histories() {
    let with_up = |events: Vec<(u64, Event)>| [all_up(), events].concat();
    let down = |at, planned| (at, Event::Down { instance: 0, planned });
    let cut = (5_000, Event::Cut { instance: 0, send: 1 });
    let drains = (0, Event::Draining { server: 1, draining: true });
    let not_run = answered(1, Verdict::NotRun, None);
    let propagation = |active_at: u64| {
        let mut events = vec![(1_000, told(9, 1))];
        events.extend(all_in_force(active_at, 1, 9));
        events.push((20_000, sent(1, 1, false)));
        events
    };
    let delayed_by_fault = |length: u64| {
        let mut events = vec![(0, Event::FaultBegins { fault: 0 })];
        events.push((length, Event::FaultEnds { fault: 0 }));
        events.extend(propagation(9_000));
        events.sort_by_key(|(at, _)| *at);
        events
    };
    let case = |name, history, violated| Case { name, history, violated };
    let cases = [
        case("one server ejected", with_up(vec![(1, ledger(&[1]))]), None),
        case("two ledger entries", with_up(vec![(1, ledger(&[1, 3]))]), Some(Property::F)),
        case(
            "one ledger entry, one refusing server",
            with_up(vec![(1, ledger(&[1])), (2, Event::Refusing { server: 3, all: true })]),
            Some(Property::F),
        ),
        case(
            "ejection long after a loss",
            with_up(vec![down(0, false), (60_000, ledger(&[3]))]),
            Some(Property::F),
        ),
        case(
            "ejection before a loss can be known",
            with_up(vec![down(59_000, false), (60_000, ledger(&[3]))]),
            None,
        ),
        case(
            "second refusal under the same ledger entry after a loss",
            with_up(vec![
                (1, ledger(&[3])),
                (2, Event::Refusing { server: 3, all: true }),
                (3, Event::Refusing { server: 3, all: false }),
                down(4, false),
                (60_000, Event::Refusing { server: 3, all: true }),
            ]),
            None,
        ),
        case(
            "refusal after the ledger entry was replaced",
            with_up(vec![
                (1, ledger(&[1])),
                (2, ledger(&[3])),
                (3, Event::Refusing { server: 1, all: true }),
            ]),
            Some(Property::F),
        ),
        case("complete answer", vec![(1, answered(1, Verdict::Ran, Some((1, true))))], None),
        case(
            "truncated answer",
            vec![(1, answered(1, Verdict::Ran, Some((1, false))))],
            Some(Property::A),
        ),
        case(
            "answer of another request",
            vec![(1, answered(1, Verdict::Ran, Some((2, true))))],
            Some(Property::A),
        ),
        case("two answers", vec![(1, not_run.clone()), (2, not_run.clone())], Some(Property::A)),
        case(
            "ran long after \"not run\"",
            vec![(1, sent(1, 1, false)), (2, not_run.clone()), (99_000, executed(1, 1))],
            Some(Property::N),
        ),
        case(
            "ran before \"not run\"",
            vec![(1, sent(1, 1, false)), (2, executed(1, 1)), (3, not_run)],
            Some(Property::N),
        ),
        case(
            "two requests of an operation without a key",
            vec![
                (1, sent(1, 1, false)),
                (2, sent(1, 2, false)),
                (3, executed(1, 1)),
                (4, executed(1, 2)),
            ],
            None,
        ),
        case(
            "two requests of an operation with a key",
            vec![
                (1, sent(1, 1, true)),
                (2, sent(1, 2, true)),
                (3, executed(1, 1)),
                (4, executed(1, 2)),
            ],
            Some(Property::O),
        ),
        case(
            "one request executed twice",
            vec![(1, sent(1, 1, false)), (3, executed(1, 1)), (4, executed(1, 1))],
            Some(Property::O),
        ),
        case("request at the draining bound", vec![drains.clone(), (2_000, executed(1, 1))], None),
        case(
            "request past the draining bound",
            vec![drains, (2_001, executed(1, 1))],
            Some(Property::D),
        ),
        case("crash interrupts a request", vec![cut.clone(), down(5_000, false)], None),
        case("planned stop interrupts a request", vec![cut, down(5_000, true)], Some(Property::G)),
        case(
            "generation decreases",
            vec![(1, in_force(0, 2, 8)), (2, in_force(0, 1, 9))],
            Some(Property::C),
        ),
        case(
            "generation with two plans",
            vec![(1, told(8, 1)), (2, told(9, 1))],
            Some(Property::C),
        ),
        case("propagation in time", propagation(6_900), None),
        case("propagation too late", propagation(7_100), Some(Property::C)),
        case("propagation delayed by a fault", delayed_by_fault(500), None),
    ];
    for Case { name, history, violated } in cases {
        let entry = |(ms, event)| HistoryEntry { at: Duration::from_millis(ms), event };
        let history: Vec<HistoryEntry> = history.into_iter().map(entry).collect();
        let violations = check(&history);
        let properties: Vec<Property> = violations.iter().map(|v| v.property).collect();
        let expected: Vec<Property> = violated.into_iter().collect();
        assert_eq!(properties.first(), expected.first(), "{name}: {violations:?}");
    }
}
