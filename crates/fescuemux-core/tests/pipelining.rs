//! Guards against requests that start early although they must not run twice, and against more
//! early requests than the memory of a process allows.

use fescuemux_core::pipelining::{
    ConnectionState, EarlyStart, EarlyStarts, PipelineLimits, PipelinedRequest,
};

const PLAIN: PipelinedRequest = PipelinedRequest {
    is_idempotent: true,
    has_body: false,
    needs_negotiation: false,
    closes_connection: false,
};

#[test]
fn only_what_may_run_twice_starts_early() {
    struct Case {
        name: &'static str,
        request: PipelinedRequest,
        is_closing: bool,
        expected: EarlyStart,
    }
    let case = |name, request, expected| Case { name, request, is_closing: false, expected };
    let cases = [
        case("plain", PLAIN, EarlyStart::Now),
        case(
            "not idempotent",
            PipelinedRequest { is_idempotent: false, ..PLAIN },
            EarlyStart::InOrder,
        ),
        case("a body", PipelinedRequest { has_body: true, ..PLAIN }, EarlyStart::InOrder),
        case(
            "an expectation",
            PipelinedRequest { needs_negotiation: true, ..PLAIN },
            EarlyStart::InOrder,
        ),
        case(
            "the last",
            PipelinedRequest { closes_connection: true, ..PLAIN },
            EarlyStart::InOrder,
        ),
        Case {
            name: "behind a response that closes the connection",
            request: PLAIN,
            is_closing: true,
            expected: EarlyStart::Later,
        },
    ];
    for Case { name, request, is_closing, expected } in cases {
        let connection = ConnectionState { early_requests: 0, is_closing };
        assert_eq!(EarlyStarts::default().on_request(connection, request), expected, "{name}");
    }
}

/// Replays callers that send 100 requests at once each and do not read. Requests start again as
/// turns come.
#[test]
fn early_requests_stay_within_both_limits() {
    struct Case {
        connections: usize,
        expected: usize,
    }
    let limits = PipelineLimits { per_connection: 16, per_process: 40 };
    let cases = [
        Case { connections: 1, expected: 16 },
        Case { connections: 2, expected: 32 },
        Case { connections: 9, expected: 40 },
    ];
    for Case { connections, expected } in cases {
        let mut starts = EarlyStarts::new(limits);
        let mut early = vec![ConnectionState::default(); connections];
        let mut offer = |early: &mut Vec<ConnectionState>| {
            for connection in early {
                for _ in 0..100 {
                    if starts.on_request(*connection, PLAIN) == EarlyStart::Now {
                        connection.early_requests += 1;
                    }
                }
                assert!(connection.early_requests <= limits.per_connection);
            }
        };
        offer(&mut early);
        assert_eq!(early.iter().map(|c| c.early_requests).sum::<usize>(), expected);
        early[0].early_requests -= 1;
        starts.on_end();
        assert!(starts.has_room(early[0]));
        assert_eq!(starts.on_request(early[0], PLAIN), EarlyStart::Now);
        early[0].early_requests += 1;
        assert_eq!(starts.on_request(early[0], PLAIN), EarlyStart::Later);
    }
}
