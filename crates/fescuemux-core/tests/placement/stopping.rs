use crate::support::ms;
use fescuemux_core::placement::ShutdownDeadlines;
use std::time::Instant;

/// SIGKILL may follow the first or the last SIGTERM. After a second SIGTERM, a process that still
/// exits by the deadline of the first signal may cut off requests that servers run. Requests
/// without a slot must be refused by that first deadline all the same.
#[test]
fn a_repeated_stop_keeps_running_requests() {
    struct Case {
        name: &'static str,
        second_signal_ms: Option<u64>,
        checked_at_ms: u64,
        refuses: bool,
        must_exit: bool,
    }
    let cases = [
        Case {
            name: "early",
            second_signal_ms: None,
            checked_at_ms: 4_000,
            refuses: false,
            must_exit: false,
        },
        Case {
            name: "refusals first",
            second_signal_ms: None,
            checked_at_ms: 5_200,
            refuses: true,
            must_exit: false,
        },
        Case {
            name: "before the kill",
            second_signal_ms: None,
            checked_at_ms: 5_800,
            refuses: true,
            must_exit: true,
        },
        Case {
            name: "second signal after 1.9 s",
            second_signal_ms: Some(1_900),
            checked_at_ms: 5_800,
            refuses: true,
            must_exit: false,
        },
        Case {
            name: "second signal, at its deadline",
            second_signal_ms: Some(1_900),
            checked_at_ms: 7_650,
            refuses: true,
            must_exit: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut deadlines = ShutdownDeadlines::new(start, ms(6_000));
        if let Some(second_signal) = case.second_signal_ms {
            deadlines.on_repeated_stop(start + ms(second_signal));
        }
        let now = start + ms(case.checked_at_ms);
        assert_eq!(deadlines.refuses_unplaced_request(now, ms(100)), case.refuses, "{}", case.name);
        assert_eq!(deadlines.must_exit(now), case.must_exit, "{}", case.name);
    }
}

/// A request that is sent to a server with less time left than it runs is cut off when the process
/// exits. It must be refused, so that its caller can go elsewhere.
#[test]
fn a_request_that_would_outlast_the_process_is_refused() {
    struct Case {
        name: &'static str,
        running_ms: u64,
        checked_at_ms: u64,
        refuses: bool,
    }
    let cases = [
        Case { name: "short, early", running_ms: 200, checked_at_ms: 4_000, refuses: false },
        Case { name: "short, late", running_ms: 200, checked_at_ms: 5_100, refuses: true },
        Case { name: "long, 1.5 s are left", running_ms: 600, checked_at_ms: 4_500, refuses: true },
        Case { name: "long, early", running_ms: 600, checked_at_ms: 3_000, refuses: false },
        Case { name: "longer than the grace", running_ms: 3_000, checked_at_ms: 0, refuses: true },
    ];
    for case in cases {
        let start = Instant::now();
        let deadlines = ShutdownDeadlines::new(start, ms(6_000));
        let refuses =
            deadlines.refuses_unplaced_request(start + ms(case.checked_at_ms), ms(case.running_ms));
        assert_eq!(refuses, case.refuses, "{}", case.name);
    }
}
