use crate::support::ms;
use fescuemux_core::placement::ShutdownDeadlines;
use std::time::Instant;

/// A second SIGTERM renews the time until SIGKILL. A process that exits by the deadline of the
/// first one cuts off requests that servers still run.
#[test]
fn a_repeated_stop_keeps_running_requests() {
    struct Case {
        name: &'static str,
        again_ms: Option<u64>,
        at_ms: u64,
        refuses: bool,
        must_exit: bool,
    }
    let cases = [
        Case { name: "early", again_ms: None, at_ms: 4_000, refuses: false, must_exit: false },
        Case {
            name: "refusals first",
            again_ms: None,
            at_ms: 5_200,
            refuses: true,
            must_exit: false,
        },
        Case {
            name: "before the kill",
            again_ms: None,
            at_ms: 5_800,
            refuses: true,
            must_exit: true,
        },
        Case {
            name: "second signal after 1.9 s",
            again_ms: Some(1_900),
            at_ms: 5_800,
            refuses: true,
            must_exit: false,
        },
        Case {
            name: "second signal, at its end",
            again_ms: Some(1_900),
            at_ms: 7_650,
            refuses: true,
            must_exit: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut times = ShutdownDeadlines::new(start, ms(6_000));
        if let Some(again) = case.again_ms {
            times.on_repeated_stop(start + ms(again));
        }
        let now = start + ms(case.at_ms);
        assert_eq!(times.refuses_unplaced_request(now, ms(100)), case.refuses, "{}", case.name);
        assert_eq!(times.must_exit(now), case.must_exit, "{}", case.name);
    }
}

/// A request that is placed with less time left than its running time is cut off when the process
/// exits; with a refusal, its caller could go elsewhere.
#[test]
fn a_request_that_would_outlast_the_process_is_refused() {
    struct Case {
        name: &'static str,
        running_ms: u64,
        at_ms: u64,
        refuses: bool,
    }
    let cases = [
        Case { name: "short, early", running_ms: 200, at_ms: 4_000, refuses: false },
        Case { name: "short, late", running_ms: 200, at_ms: 5_100, refuses: true },
        Case { name: "long, 1.5 s are left", running_ms: 600, at_ms: 4_500, refuses: true },
        Case { name: "long, early", running_ms: 600, at_ms: 3_000, refuses: false },
        Case { name: "longer than the grace", running_ms: 3_000, at_ms: 0, refuses: true },
    ];
    for case in cases {
        let start = Instant::now();
        let times = ShutdownDeadlines::new(start, ms(6_000));
        let refuses = times.refuses_unplaced_request(start + ms(case.at_ms), ms(case.running_ms));
        assert_eq!(refuses, case.refuses, "{}", case.name);
    }
}
