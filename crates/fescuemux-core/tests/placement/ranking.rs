use crate::support::{ms, quote};
use fescuemux_core::placement::{LoadReport, PlacementCost, Readiness, rank};

#[derive(Clone, Copy, Debug)]
struct Offer {
    name: &'static str,
    near: bool,
    quote: LoadReport,
}

fn offer(name: &'static str) -> Offer {
    Offer { name, near: true, quote: quote() }
}

/// The best offer weighs waiting, distance and the probability of a fault.
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
    let far = |o: Offer| Offer { near: false, ..o };
    let with = |o: Offer, quote: LoadReport| Offer { quote, ..o };
    let waits = LoadReport { busy: 4, expected_wait: ms(300), ..quote() };
    let cases = [
        Case {
            name: "near before far",
            kilobytes: 4.0,
            idempotent: false,
            a: far(offer("a")),
            b: offer("b"),
            best: "b",
        },
        Case {
            name: "a free slot far away before a wait",
            kilobytes: 4.0,
            idempotent: false,
            a: far(offer("a")),
            b: with(offer("b"), waits),
            best: "a",
        },
        Case {
            name: "a large body waits for a near slot",
            kilobytes: 120.0,
            idempotent: false,
            a: far(offer("a")),
            b: with(offer("b"), waits),
            best: "b",
        },
        Case {
            name: "what must not run twice avoids doubt",
            kilobytes: 4.0,
            idempotent: false,
            a: with(offer("a"), LoadReport { failure_probability: 0.2, ..quote() }),
            b: with(offer("b"), waits),
            best: "b",
        },
        Case {
            name: "what may be repeated accepts some doubt",
            kilobytes: 4.0,
            idempotent: true,
            a: with(offer("a"), LoadReport { failure_probability: 0.2, ..quote() }),
            b: with(offer("b"), waits),
            best: "a",
        },
        Case {
            name: "a repeatable request tries an idle server",
            kilobytes: 4.0,
            idempotent: true,
            a: with(
                offer("a"),
                LoadReport { readiness: Readiness::Idle, failure_probability: 0.9, ..quote() },
            ),
            b: offer("b"),
            best: "a",
        },
        Case {
            name: "others do not try an idle server",
            kilobytes: 4.0,
            idempotent: false,
            a: with(
                offer("a"),
                LoadReport { readiness: Readiness::Idle, failure_probability: 0.9, ..quote() },
            ),
            b: offer("b"),
            best: "b",
        },
    ];
    for case in cases {
        let mut offers = vec![case.a, case.b];
        let cost = PlacementCost::default();
        rank(&mut offers, &cost, case.kilobytes, case.idempotent, |o| (o.near, o.quote));
        assert_eq!(offers[0].name, case.best, "{}", case.name);
    }
}

/// A closed guard would only refuse.
#[test]
fn closed_guards_are_left_out() {
    let closed = LoadReport { readiness: Readiness::Closed, ..quote() };
    let mut offers = vec![Offer { quote: closed, ..offer("a") }];
    rank(&mut offers, &PlacementCost::default(), 1.0, true, |o| (o.near, o.quote));
    assert!(offers.is_empty());
}
