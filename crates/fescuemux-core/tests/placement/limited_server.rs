//! Admission at one server that names a limit.

use super::support::{controller_with_server, ms, report, slot_request};
use fescuemux_core::placement::{
    Admission, AdmissionController, NamedLimit, Precedence, Readiness, RelayedNotice,
    RequestOutcome, ServerNotice, SlotRefusalReason, SlotRequest,
};
use std::time::{Duration, Instant};

fn name_limit(controller: &mut AdmissionController, now: Instant, limit: NamedLimit) {
    let notice = ServerNotice { limit, leaving: false };
    controller.on_notice(now, "server-1", 1, notice);
}

/// Requests one slot after the other for `duration`, each running for a moment, and returns the
/// times of the starts.
fn starts_within(
    controller: &mut AdmissionController,
    start: Instant,
    duration: Duration,
) -> Vec<Duration> {
    let mut starts = Vec::new();
    for (step, ticket) in (0..duration.as_millis() as u64).step_by(10).zip(1..) {
        let now = start + ms(step);
        let request = SlotRequest { may_queue: false, ..slot_request(now) };
        if controller.request_slot(now, ticket, request) == Admission::Granted {
            assert!(controller.start(now, ticket));
            controller.finish(now, ticket, RequestOutcome::Answered);
            starts.push(now - start);
        }
    }
    starts
}

/// The limit is used, and spread over time; a server that names zero gets a request now and then,
/// because only a response can end its limit.
#[test]
fn requests_are_spread_over_the_limit() {
    struct Case {
        limit: NamedLimit,
        within_8_s: std::ops::RangeInclusive<usize>,
        max_within_1_s: usize,
    }
    let per_second = NamedLimit::PerSecond;
    let cases = [
        Case { limit: per_second(2.0), within_8_s: 15..=17, max_within_1_s: 3 },
        Case { limit: per_second(0.5), within_8_s: 3..=5, max_within_1_s: 1 },
        Case { limit: per_second(10.0), within_8_s: 76..=85, max_within_1_s: 15 },
        Case { limit: per_second(0.0), within_8_s: 1..=2, max_within_1_s: 1 },
        Case { limit: per_second(1e9), within_8_s: 799..=800, max_within_1_s: 101 },
        Case { limit: NamedLimit::None, within_8_s: 800..=800, max_within_1_s: 101 },
        Case { limit: NamedLimit::Unreadable, within_8_s: 800..=800, max_within_1_s: 101 },
    ];
    for case in cases {
        let start = Instant::now();
        let mut controller = controller_with_server(start);
        name_limit(&mut controller, start, case.limit);
        let starts = starts_within(&mut controller, start, ms(8_000));
        assert!(case.within_8_s.contains(&starts.len()), "{:?}: {}", case.limit, starts.len());
        let within_1_s = |from: &Duration| {
            starts.iter().filter(|at| (*from..*from + ms(1_000)).contains(at)).count()
        };
        let densest = starts.iter().map(within_1_s).max().unwrap_or_default();
        assert!(densest <= case.max_within_1_s, "{:?}: {densest} in 1 s", case.limit);
    }
}

/// A limit ends with a response that does not name it and with the server's life, but not with one
/// that cannot be read. What an ingress repeats counts only until the server has responded.
#[test]
fn a_limit_holds_as_long_as_the_server_says_so() {
    #[derive(Clone, Copy)]
    enum Event {
        Response(NamedLimit),
        Relayed { incarnation: u64, limit: f64 },
        NewLife,
    }
    struct Case {
        name: &'static str,
        events: &'static [Event],
        limit: Option<f64>,
    }
    use Event::{NewLife, Relayed, Response};
    use NamedLimit::{None as NoLimit, PerSecond, Unreadable};
    let cases = [
        Case { name: "named", events: &[Response(PerSecond(2.0))], limit: Some(2.0) },
        Case { name: "ended", events: &[Response(PerSecond(2.0)), Response(NoLimit)], limit: None },
        Case {
            name: "changed",
            events: &[Response(PerSecond(2.0)), Response(PerSecond(3.0))],
            limit: Some(3.0),
        },
        Case {
            name: "unreadable",
            events: &[Response(PerSecond(2.0)), Response(Unreadable)],
            limit: Some(2.0),
        },
        Case { name: "new life", events: &[Response(PerSecond(2.0)), NewLife], limit: None },
        Case {
            name: "relayed",
            events: &[Relayed { incarnation: 1, limit: 4.0 }],
            limit: Some(4.0),
        },
        Case {
            name: "relayed of another life",
            events: &[Relayed { incarnation: 2, limit: 4.0 }],
            limit: None,
        },
        Case {
            name: "relayed, then ended",
            events: &[Relayed { incarnation: 1, limit: 4.0 }, Response(NoLimit)],
            limit: None,
        },
        Case {
            name: "relayed late",
            events: &[Response(NoLimit), Relayed { incarnation: 1, limit: 4.0 }],
            limit: None,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut controller = controller_with_server(now);
        for event in case.events {
            match *event {
                Response(limit) => name_limit(&mut controller, now, limit),
                Relayed { incarnation, limit } => {
                    let server = "server-1".into();
                    let notice =
                        RelayedNotice { server, incarnation, limit: Some(limit), leaving: false };
                    controller.on_relayed_notice(now, &notice);
                }
                NewLife => drop(controller.on_report(now, report("server-1", 2, 1))),
            }
        }
        let limit = controller.server().and_then(|server| server.limit());
        assert_eq!(limit, case.limit, "{}", case.name);
    }
}

/// A limited server offers no slot that its limit does not leave, so requests go elsewhere. What it
/// refuses is told when there will be room, and that is no sign of a fault.
#[test]
fn a_limited_server_tells_when_there_is_room() {
    let now = Instant::now();
    let mut controller = controller_with_server(now);
    name_limit(&mut controller, now, NamedLimit::PerSecond(0.5));
    let report = controller.load_report(now, Precedence::top_level(1), 7, ms(400));
    assert_eq!(report.readiness, Readiness::Open);
    assert!(!report.has_free_slot());
    assert_eq!(report.expected_wait, ms(2_000));
    let unlimited = controller_with_server(now);
    assert_eq!(report.failure_probability, unlimited.failure_probability(now));
    let request = SlotRequest { may_queue: false, ..slot_request(now) };
    let Admission::Refused(refusal) = controller.request_slot(now, 1, request) else {
        panic!("a request beyond the limit is granted");
    };
    assert_eq!((refusal.reason, refusal.retry_in), (SlotRefusalReason::Limited, ms(2_000)));
    let late = controller.request_slot(now, 2, slot_request(now));
    assert!(matches!(late, Admission::Refused(r) if r.reason == SlotRefusalReason::TooLate));
}

/// Calls of running work get the next request that the limit leaves, whoever waited first. A grant
/// that is not used does not count.
#[test]
fn nested_requests_go_first_and_unused_grants_do_not_count() {
    let start = Instant::now();
    let mut controller = controller_with_server(start);
    name_limit(&mut controller, start, NamedLimit::PerSecond(2.0));
    let top_level = slot_request(start);
    let nested = SlotRequest { nested: true, ..slot_request(start) };
    assert!(matches!(controller.request_slot(start, 1, top_level), Admission::Queued(_)));
    assert!(matches!(controller.request_slot(start, 2, nested), Admission::Queued(_)));
    assert_eq!(controller.advance(start + ms(400)), []);
    let first = controller.advance(start + ms(510));
    assert_eq!(first, [(2, Admission::Granted)]);
    controller.cancel(start + ms(520), 2);
    assert_eq!(controller.advance(start + ms(530)), [(1, Admission::Granted)]);
}
