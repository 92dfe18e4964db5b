use crate::support::{load_report, ms};
use fescuemux_core::placement::{LoadReport, PlacementCost, Readiness, rank};

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
