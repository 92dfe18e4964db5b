use crate::support::ms;
use fescuemux_core::placement::RunningTimes;

/// With a constant weight, a process that has just started would consider most requests late and
/// all servers faulty until it had seen twenty requests.
#[test]
fn first_running_times_weigh_most() {
    struct Case {
        name: &'static str,
        assumed_ms: u64,
        seen_ms: &'static [u64],
        at_least_ms: u64,
        at_most_ms: u64,
    }
    let cases = [
        Case {
            name: "three requests",
            assumed_ms: 300,
            seen_ms: &[900, 900, 900],
            at_least_ms: 700,
            at_most_ms: 900,
        },
        Case {
            name: "one long request after many",
            assumed_ms: 900,
            seen_ms: &[900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 9_000],
            at_least_ms: 900,
            at_most_ms: 1_800,
        },
        Case {
            name: "a server that turns slow",
            assumed_ms: 300,
            seen_ms: &[
                300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 1_500, 1_500, 1_500,
                1_500, 1_500, 1_500, 1_500,
            ],
            at_least_ms: 900,
            at_most_ms: 1_500,
        },
    ];
    for case in cases {
        let mut times = RunningTimes::default();
        case.seen_ms.iter().for_each(|seen| times.record(7, ms(*seen), ms(case.assumed_ms)));
        let mean = times.route_mean(7).unwrap_or_default();
        let allowed = ms(case.at_least_ms)..=ms(case.at_most_ms);
        assert!(allowed.contains(&mean), "{}: {mean:?}", case.name);
    }
}
