use crate::support::{LIMITS, ms, report};
use fescuemux_core::placement::{
    AdmissionController, FailedRequests, LocalServer, ServerPhase, ServerReport,
    is_nested_request_of,
};
use std::time::Instant;

/// Reports may arrive late, from dead servers or under reused ids. Only those of the newest
/// incarnation count, and a server that has left does not return in the same incarnation.
#[test]
fn only_newer_reports_count() {
    struct Case {
        name: &'static str,
        reports: &'static [(&'static str, u64, u64, ServerPhase)],
        left: Option<&'static str>,
        then: Option<(&'static str, u64, u64, ServerPhase)>,
        accepts_requests: bool,
        id: &'static str,
    }
    use ServerPhase::{Draining, Ready};
    let cases = [
        Case {
            name: "a late report of an earlier start",
            reports: &[("b", 20, 1, Ready), ("a", 10, 9, Draining)],
            left: None,
            then: None,
            accepts_requests: true,
            id: "b",
        },
        Case {
            name: "a late ready after draining",
            reports: &[("a", 10, 1, Ready), ("a", 10, 3, Draining), ("a", 10, 2, Ready)],
            left: None,
            then: None,
            accepts_requests: false,
            id: "a",
        },
        Case {
            name: "ready with a higher number after draining",
            reports: &[("a", 10, 3, Draining), ("a", 10, 4, Ready)],
            left: None,
            then: None,
            accepts_requests: false,
            id: "a",
        },
        Case {
            name: "a report after the server left",
            reports: &[("a", 10, 3, Ready)],
            left: Some("a"),
            then: Some(("a", 10, 4, Ready)),
            accepts_requests: false,
            id: "a",
        },
        Case {
            name: "the same id starts again",
            reports: &[("a", 10, 3, Ready)],
            left: Some("a"),
            then: Some(("a", 30, 1, Ready)),
            accepts_requests: true,
            id: "a",
        },
        Case {
            name: "an earlier server left",
            reports: &[("a", 10, 3, Ready), ("b", 20, 1, Ready)],
            left: Some("a"),
            then: None,
            accepts_requests: true,
            id: "b",
        },
    ];
    let to_report = |(id, incarnation, seq, phase): (&str, u64, u64, ServerPhase)| ServerReport {
        phase,
        ..report(id, incarnation, seq)
    };
    for case in cases {
        let now = Instant::now();
        let mut controller = AdmissionController::new(now, LIMITS);
        for report in case.reports {
            controller.on_report(now, to_report(*report));
        }
        if let Some(id) = case.left {
            controller.on_server_left(5, id);
        }
        if let Some(report) = case.then {
            controller.on_report(now, to_report(report));
        }
        let server = controller.server().expect("a server sent a report");
        assert_eq!(server.accepts_requests(), case.accepts_requests, "{}", case.name);
        assert_eq!(server.report.id, case.id, "{}", case.name);
    }
}

/// Only a recently failed nested request of the failed request itself excuses the server.
#[test]
fn failed_nested_requests_are_matched_by_id_and_time() {
    struct Case {
        failed: &'static str,
        parent: &'static str,
        after_ms: u64,
        excused: bool,
    }
    let cases = [
        Case { failed: "aa.1", parent: "aa", after_ms: 10, excused: true },
        Case { failed: "aa.1", parent: "bb", after_ms: 10, excused: false },
        Case { failed: "aa", parent: "aa", after_ms: 10, excused: false },
        Case { failed: "aa.1", parent: "aa", after_ms: 900, excused: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut requests = FailedRequests::default();
        requests.add(now, case.failed);
        let excused = requests.has_nested_request_of(now + ms(case.after_ms), case.parent);
        assert_eq!(excused, case.excused, "{} of {}", case.failed, case.parent);
    }
    assert!(is_nested_request_of("aa.1", "aa"));
}

/// A process that had just started acknowledged the departure of a server that it did not know yet,
/// and accepted a delayed report of that server two seconds later.
#[test]
fn reports_sent_before_the_server_left_are_ignored() {
    struct Case {
        name: &'static str,
        left: &'static str,
        incarnation: u64,
        accepts_requests: bool,
    }
    let cases = [
        Case {
            name: "delayed report",
            left: "server-1",
            incarnation: 1_000,
            accepts_requests: false,
        },
        Case {
            name: "a later start",
            left: "server-1",
            incarnation: 1_600,
            accepts_requests: true,
        },
        Case {
            name: "another server",
            left: "server-2",
            incarnation: 1_000,
            accepts_requests: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut controller = AdmissionController::new(now, LIMITS);
        assert!(!controller.on_server_left(1_500, case.left));
        controller.on_report(now, report("server-1", case.incarnation, 7));
        let accepts_requests = controller.server().is_some_and(LocalServer::accepts_requests);
        assert_eq!(accepts_requests, case.accepts_requests, "{}", case.name);
    }
}
