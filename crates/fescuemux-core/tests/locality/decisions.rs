//! Single decisions of the policy.

use crate::fleet::{SERVICE, SMALL};
use fescuemux_core::base::DomainId;
use fescuemux_core::locality::{
    LeaveReason, LocalityPolicy, Offered, PlacedRequest, RemoteOutcome,
};
use fescuemux_core::placement::{LoadReport, Readiness};
use std::time::{Duration, Instant};

const RTT: Duration = Duration::from_millis(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn free() -> LoadReport {
    LoadReport {
        readiness: Readiness::Open,
        slots: 8,
        used_slots: 2,
        queued: 0,
        expected_wait: Duration::ZERO,
        expected_running_time: SMALL.running,
        failure_probability: 0.02,
        shed_probability: 0.0,
    }
}

fn full(wait_ms: u64) -> LoadReport {
    LoadReport { used_slots: 8, queued: 3, expected_wait: ms(wait_ms), ..free() }
}

fn request() -> PlacedRequest {
    PlacedRequest {
        home: "home".into(),
        service: SERVICE.into(),
        idempotent: false,
        nested: false,
        kilobytes: SMALL.kilobytes,
        running_time: SMALL.running,
        time_to_objective: SMALL.objective,
        time_left: SMALL.timeout,
        refused_at_home: false,
    }
}

/// Returns a policy that has seen `home_report` at home, free servers in the domain "away", and
/// requests of the usual size.
fn policy(now: Instant, home_report: LoadReport) -> LocalityPolicy {
    let (home, away): (DomainId, DomainId) = ("home".into(), "away".into());
    let mut policy = LocalityPolicy::default();
    for _ in 0..40 {
        let service = SERVICE.into();
        policy.on_reply(now, &service, Offered { domain: &home, report: home_report }, RTT);
        policy.on_reply(now, &service, Offered { domain: &away, report: free() }, RTT);
        policy.on_size(SMALL.kilobytes);
    }
    policy
}

/// Returns the domain of the best of two offers.
fn best(
    policy: &LocalityPolicy,
    now: Instant,
    request: &PlacedRequest,
    home: LoadReport,
    away: LoadReport,
) -> DomainId {
    let mut offers: Vec<(DomainId, LoadReport)> =
        vec![("away".into(), away), ("home".into(), home)];
    policy.order(now, 1.0, request, &mut offers, None, |(domain, report)| Offered {
        domain,
        report: *report,
    });
    offers.remove(0).0
}

/// A wait that leaves the objective intact saves the bytes; a wait that endangers it does not. Large
/// bodies wait longer, and a shortage of home servers that lasts makes waiting useless.
#[test]
fn a_request_leaves_only_for_its_objective() {
    struct Case {
        name: &'static str,
        request: PlacedRequest,
        home: LoadReport,
        away: LoadReport,
        lasting_shortage: bool,
        leaves: bool,
    }
    let case = |name, home, leaves| Case {
        name,
        request: request(),
        home,
        away: free(),
        lasting_shortage: false,
        leaves,
    };
    let faulty = LoadReport { failure_probability: 0.5, ..free() };
    let cases = [
        case("free slot at home", free(), false),
        case("short wait", full(100), false),
        case("wait that endangers the objective", full(900), true),
        case("free slot at a server that probably fails", faulty, true),
        Case {
            request: PlacedRequest { kilobytes: 300.0, ..request() },
            ..case("large body", full(900), false)
        },
        Case {
            request: PlacedRequest { kilobytes: 300.0, ..request() },
            ..case("large body that would certainly be late", full(3_000), true)
        },
        Case {
            request: PlacedRequest { time_to_objective: ms(6_000), ..request() },
            ..case("long objective", full(900), false)
        },
        Case {
            request: PlacedRequest { nested: true, ..request() },
            ..case("nested request, whose parent holds a slot", full(500), true)
        },
        Case { lasting_shortage: true, ..case("lasting shortage", full(150), true) },
        Case { away: full(900), ..case("equal waits", full(900), false) },
        Case { away: faulty, ..case("away probably fails", full(600), false) },
    ];
    let now = Instant::now();
    for case in cases {
        let seen = if case.lasting_shortage { full(300) } else { free() };
        let policy = policy(now, seen);
        let domain = best(&policy, now, &case.request, case.home, case.away);
        assert_eq!(domain == "away", case.leaves, "{}", case.name);
    }
}

/// Load queries between domains cost bytes, so they are sent only when an offer would be accepted.
#[test]
fn other_domains_are_asked_only_if_it_pays() {
    struct Case {
        name: &'static str,
        request: PlacedRequest,
        offers: Vec<LoadReport>,
        asks: bool,
    }
    let closed = LoadReport { readiness: Readiness::Closed, ..free() };
    let cases = [
        Case { name: "free slot", request: request(), offers: vec![free()], asks: false },
        Case { name: "short wait", request: request(), offers: vec![full(100)], asks: false },
        Case { name: "long wait", request: request(), offers: vec![full(900)], asks: true },
        Case { name: "no reply", request: request(), offers: vec![], asks: true },
        Case { name: "closed", request: request(), offers: vec![closed], asks: true },
        Case {
            name: "refused",
            request: PlacedRequest { refused_at_home: true, ..request() },
            offers: vec![full(100)],
            asks: true,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let count = policy(now, free()).remote_query_count(now, &case.request, &case.offers);
        assert_eq!(count > 0, case.asks, "{}", case.name);
    }
}

/// A request that waits at home must not be moved by a free slot elsewhere that is not worth its
/// bytes.
#[test]
fn a_waiting_request_stays_unless_its_objective_is_in_danger() {
    let now = Instant::now();
    let policy = policy(now, free());
    for (wait_ms, moves) in [(100, false), (900, true)] {
        let mut offers: Vec<(DomainId, LoadReport)> = vec![("away".into(), free())];
        policy.order(now, 1.0, &request(), &mut offers, Some(full(wait_ms)), |(domain, report)| {
            Offered { domain, report: *report }
        });
        assert_eq!(offers.len() == 1, moves, "{wait_ms} ms");
    }
}

/// A domain that hangs offers free slots. The requests in flight there are limited and count as
/// evidence before they end; the domain is used again when it answers or the evidence is old.
#[test]
fn a_hanging_domain_gets_few_requests() {
    let now = Instant::now();
    let mut policy = policy(now, free());
    let away = "away".into();
    let mut sent = Vec::new();
    while best(&policy, now, &request(), full(900), free()) == "away" && sent.len() < 100 {
        sent.push(policy.on_sent(now, &away, SMALL.running));
    }
    assert_eq!(sent.len(), 4);
    let later = now + SMALL.timeout;
    for attempt in &sent {
        policy.on_ended(later, attempt, RemoteOutcome::Canceled);
    }
    assert_eq!(best(&policy, later, &request(), full(900), free()), "home");
    let much_later = later + ms(20_000);
    assert_eq!(best(&policy, much_later, &request(), full(900), free()), "away");
}

/// The reason in logs and metrics tells a shortage from faults.
#[test]
fn the_reason_of_leaving_is_named() {
    let faulty = LoadReport { failure_probability: 0.5, ..free() };
    let refused = PlacedRequest { refused_at_home: true, ..request() };
    let cases = [
        (request(), vec![], LeaveReason::NoHomeOffer),
        (request(), vec![full(900)], LeaveReason::Wait),
        (request(), vec![full(900), faulty], LeaveReason::Failure),
        (refused, vec![full(900)], LeaveReason::Refused),
    ];
    for (request, offers, reason) in cases {
        assert_eq!(LocalityPolicy::leave_reason(&request, &offers), reason);
    }
}
