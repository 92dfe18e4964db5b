use crate::support::{controller_with_server, ms, slot_request};
use fescuemux_core::base::{Cx, HashMap};
use fescuemux_core::placement::{Admission, RequestOutcome, SlotRequest, Ticket};
use rand::Rng;
use std::time::{Duration, Instant};

/// Requests of a replayed load by outcome.
#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    in_time: usize,
    late: usize,
    refused_early: usize,
    refused_late: usize,
}

/// Replays seeded arrivals with running times around 400 ms on one server with four slots.
fn replay(seed: u64, requests_per_s: f64, seconds: u64) -> Counts {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut controller = controller_with_server(start);
    let mut counts = Counts::default();
    // Arrival time and objective of each request.
    let mut arrivals: HashMap<Ticket, (Instant, Instant)> = HashMap::default();
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    for step in 0..seconds * 200 {
        let now = start + ms(step * 5);
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (end, ticket) = ends.remove(0);
            controller.finish(end, ticket, RequestOutcome::Answered);
            let (_, objective) = arrivals[&ticket];
            if end <= objective { counts.in_time += 1 } else { counts.late += 1 }
        }
        let mut decisions = controller.advance(now);
        if cx.rng.random_bool(requests_per_s / 200.0) {
            counts.requests += 1;
            let request: SlotRequest = slot_request(now);
            arrivals.insert(step, (now, request.objective));
            decisions.push((step, controller.request_slot(now, step, request)));
        }
        for (ticket, admission) in decisions {
            match admission {
                Admission::Granted => {
                    assert!(controller.start(now, ticket));
                    let elapsed = ms(cx.rng.random_range(150..650));
                    ends.push((now + elapsed, ticket));
                }
                Admission::Queued(_) => {}
                Admission::Refused(_) => {
                    let waited = now.saturating_duration_since(arrivals[&ticket].0);
                    match waited <= ms(190) {
                        true => counts.refused_early += 1,
                        false => counts.refused_late += 1,
                    }
                }
            }
        }
    }
    counts
}

/// At twice a server's capacity, an unlimited queue would answer every request late. The slots must
/// stay in use by requests that end in time, and all other requests must be refused early.
#[test]
fn overload_is_refused_early_and_the_rest_ends_in_time() {
    struct Case {
        requests_per_s: f64,
        /// Minimum share of the capacity of ten requests a second that ends in time.
        min_served_share: f64,
        /// Maximum share of requests that are refused after more than an eighth of the objective.
        max_refused_late_share: f64,
    }
    let cases = [
        Case { requests_per_s: 5.0, min_served_share: 0.45, max_refused_late_share: 0.0 },
        Case { requests_per_s: 12.0, min_served_share: 0.85, max_refused_late_share: 0.05 },
        Case { requests_per_s: 20.0, min_served_share: 0.85, max_refused_late_share: 0.05 },
        Case { requests_per_s: 40.0, min_served_share: 0.85, max_refused_late_share: 0.05 },
    ];
    let seconds = 40;
    for case in cases {
        for seed in 1..=5 {
            let counts = replay(seed, case.requests_per_s, seconds);
            let capacity = 10.0 * Duration::from_secs(seconds).as_secs_f64();
            let share = counts.in_time as f64 / capacity;
            assert!(
                share >= case.min_served_share,
                "{} a second, seed {seed}: {counts:?}",
                case.requests_per_s
            );
            let refused_late_share = counts.refused_late as f64 / counts.requests as f64;
            assert!(
                refused_late_share <= case.max_refused_late_share,
                "{} a second, seed {seed}: {counts:?}",
                case.requests_per_s
            );
            assert!(counts.late <= counts.in_time / 10, "seed {seed}: {counts:?}");
        }
    }
}
