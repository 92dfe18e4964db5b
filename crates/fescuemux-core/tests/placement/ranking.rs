use crate::support::{controller_with_server, load_report, ms, slot_request};
use fescuemux_core::placement::{
    LoadReport, PlacementCost, Precedence, Readiness, RequestOutcome, rank,
};
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
struct Offer {
    name: &'static str,
    same_domain: bool,
    load_report: LoadReport,
}

fn offer(name: &'static str) -> Offer {
    Offer { name, same_domain: true, load_report: load_report() }
}

/// The ranking weighs wait, failure domain and failure probability.
#[test]
fn the_best_offer_goes_first() {
    struct Case {
        name: &'static str,
        kilobytes: f64,
        idempotent: bool,
        a: Offer,
        b: Offer,
        best: &'static str,
    }
    let remote = |o: Offer| Offer { same_domain: false, ..o };
    let with_report = |o: Offer, load_report: LoadReport| Offer { load_report, ..o };
    let queued = LoadReport { used_slots: 4, expected_wait: ms(300), ..load_report() };
    let cases = [
        Case {
            name: "same failure domain first",
            kilobytes: 4.0,
            idempotent: false,
            a: remote(offer("a")),
            b: offer("b"),
            best: "b",
        },
        Case {
            name: "free slot in another domain before a wait",
            kilobytes: 4.0,
            idempotent: false,
            a: remote(offer("a")),
            b: with_report(offer("b"), queued),
            best: "a",
        },
        Case {
            name: "a large body waits for a slot in the same domain",
            kilobytes: 120.0,
            idempotent: false,
            a: remote(offer("a")),
            b: with_report(offer("b"), queued),
            best: "b",
        },
        Case {
            name: "non-idempotent requests avoid a possible fault",
            kilobytes: 4.0,
            idempotent: false,
            a: with_report(offer("a"), LoadReport { failure_probability: 0.2, ..load_report() }),
            b: with_report(offer("b"), queued),
            best: "b",
        },
        Case {
            name: "idempotent requests risk a possible fault",
            kilobytes: 4.0,
            idempotent: true,
            a: with_report(offer("a"), LoadReport { failure_probability: 0.2, ..load_report() }),
            b: with_report(offer("b"), queued),
            best: "a",
        },
        Case {
            name: "an idempotent request tries an idle server",
            kilobytes: 4.0,
            idempotent: true,
            a: with_report(
                offer("a"),
                LoadReport {
                    readiness: Readiness::Idle,
                    failure_probability: 0.9,
                    ..load_report()
                },
            ),
            b: offer("b"),
            best: "a",
        },
        Case {
            name: "a non-idempotent request does not try an idle server",
            kilobytes: 4.0,
            idempotent: false,
            a: with_report(
                offer("a"),
                LoadReport {
                    readiness: Readiness::Idle,
                    failure_probability: 0.9,
                    ..load_report()
                },
            ),
            b: offer("b"),
            best: "b",
        },
    ];
    for case in cases {
        let mut offers = vec![case.a, case.b];
        let cost = PlacementCost::default();
        rank(&mut offers, &cost, case.kilobytes, case.idempotent, |o| {
            (o.same_domain, o.load_report)
        });
        assert_eq!(offers[0].name, case.best, "{}", case.name);
    }
}

/// A closed instance would refuse the request.
#[test]
fn closed_instances_are_removed() {
    let closed = LoadReport { readiness: Readiness::Closed, ..load_report() };
    let mut offers = vec![Offer { load_report: closed, ..offer("a") }];
    rank(&mut offers, &PlacementCost::default(), 1.0, true, |o| (o.same_domain, o.load_report));
    assert!(offers.is_empty());
}

/// A server that sheds what its guard granted must lose its load to others within a few requests,
/// before the arrivals use up the fleet's retry budget, and be tried again when it may have
/// recovered.
#[test]
fn a_shedding_server_is_avoided_until_it_recovers() {
    struct Case {
        name: &'static str,
        shed_count: u64,
        answered_count: u64,
        after_ms: u64,
        preferred_to_a_wait: bool,
    }
    let cases = [
        Case {
            name: "one refusal may be chance",
            shed_count: 1,
            answered_count: 0,
            after_ms: 0,
            preferred_to_a_wait: true,
        },
        Case {
            name: "sheds all",
            shed_count: 4,
            answered_count: 0,
            after_ms: 0,
            preferred_to_a_wait: false,
        },
        Case {
            name: "shed all five seconds ago",
            shed_count: 4,
            answered_count: 0,
            after_ms: 5_000,
            preferred_to_a_wait: true,
        },
        Case {
            name: "answers again",
            shed_count: 4,
            answered_count: 4,
            after_ms: 0,
            preferred_to_a_wait: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut controller = controller_with_server(start);
        let shed = (0..case.shed_count).map(|_| RequestOutcome::Shed);
        let answered = (0..case.answered_count).map(|_| RequestOutcome::Answered);
        for (ticket, outcome) in (1..).zip(shed.chain(answered)) {
            controller.request_slot(start, ticket, slot_request(start));
            assert!(controller.start(start, ticket), "{}", case.name);
            controller.finish(start, ticket, outcome);
        }
        let now = start + ms(case.after_ms);
        let report = controller.load_report(now, Precedence::top_level(1), 7, ms(400));
        let report = LoadReport { failure_probability: 0.02, ..report };
        // Until the wait of 300 ms is over, a slot of the other server is worth waiting for.
        let queued = LoadReport {
            used_slots: 4,
            expected_wait: ms(300),
            expected_running_time: report.expected_running_time,
            ..load_report()
        };
        let mut offers = vec![("queued", queued), ("shedding", report)];
        rank(&mut offers, &PlacementCost::default(), 4.0, false, |(_, report)| (true, *report));
        assert_eq!(offers[0].0 == "shedding", case.preferred_to_a_wait, "{}", case.name);
    }
}

/// A malformed report must neither stop the process nor attract requests. A sort panics if its
/// comparison is no total order, which only shows with many elements.
#[test]
fn reports_that_are_no_numbers_go_last() {
    let malformed = LoadReport { failure_probability: f64::NAN, ..load_report() };
    let mut offers: Vec<_> = (0..200)
        .map(|index: u32| match index.is_multiple_of(3) {
            true => malformed,
            false => LoadReport { used_slots: index * 7 % 5, ..load_report() },
        })
        .collect();
    rank(&mut offers, &PlacementCost::default(), 4.0, false, |report| (true, *report));
    let first_malformed = offers.iter().position(|report| report.failure_probability.is_nan());
    assert_eq!(first_malformed, Some(200 - 67));
}
