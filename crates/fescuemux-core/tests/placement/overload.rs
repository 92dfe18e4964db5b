use crate::support::{ms, open_gate, work};
use fescuemux_core::base::{Cx, HashMap};
use fescuemux_core::placement::{Admission, RequestOutcome, SlotRequest, Ticket};
use rand::Rng;
use std::time::{Duration, Instant};

/// What became of a replayed load.
#[derive(Debug, Default)]
struct Served {
    asked: usize,
    in_time: usize,
    late: usize,
    refused_early: usize,
    refused_late: usize,
}

/// Replays seeded arrivals with running times around 400 ms at one server with four slots.
fn replay(seed: u64, per_s: f64, seconds: u64) -> Served {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut gate = open_gate(start);
    let mut served = Served::default();
    let mut arrivals: HashMap<Ticket, (Instant, Instant)> = HashMap::default();
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    for step in 0..seconds * 200 {
        let now = start + ms(step * 5);
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (end, ticket) = ends.remove(0);
            gate.finish(end, ticket, RequestOutcome::Answered);
            let (_, objective) = arrivals[&ticket];
            if end <= objective { served.in_time += 1 } else { served.late += 1 }
        }
        let mut decided = gate.advance(now);
        if cx.rng.random_bool(per_s / 200.0) {
            served.asked += 1;
            let new: SlotRequest = work(now);
            arrivals.insert(step, (now, new.objective));
            decided.push((step, gate.request_slot(now, step, new)));
        }
        for (ticket, admission) in decided {
            match admission {
                Admission::Granted => {
                    assert!(gate.start(now, ticket));
                    let elapsed = ms(cx.rng.random_range(150..650));
                    ends.push((now + elapsed, ticket));
                }
                Admission::Queued(_) => {}
                Admission::Refused(_) => {
                    let waited = now.saturating_duration_since(arrivals[&ticket].0);
                    match waited <= ms(190) {
                        true => served.refused_early += 1,
                        false => served.refused_late += 1,
                    }
                }
            }
        }
    }
    served
}

/// Under twice the load that a server carries, a queue without a bound answers everything late.
/// The slots must stay busy with requests that end in time, and the rest hear at once.
#[test]
fn overload_is_refused_early_and_the_rest_ends_in_time() {
    struct Case {
        per_s: f64,
        /// Least share of the capacity of ten requests a second that ends in time.
        of_capacity: f64,
        /// Most refusals after more than an eighth of the objective, as a share of requests.
        refused_late: f64,
    }
    let cases = [
        Case { per_s: 5.0, of_capacity: 0.45, refused_late: 0.0 },
        Case { per_s: 12.0, of_capacity: 0.85, refused_late: 0.05 },
        Case { per_s: 20.0, of_capacity: 0.85, refused_late: 0.05 },
        Case { per_s: 40.0, of_capacity: 0.85, refused_late: 0.05 },
    ];
    let seconds = 40;
    for case in cases {
        for seed in 1..=5 {
            let served = replay(seed, case.per_s, seconds);
            let capacity = 10.0 * Duration::from_secs(seconds).as_secs_f64();
            let share = served.in_time as f64 / capacity;
            assert!(share >= case.of_capacity, "{} a second, seed {seed}: {served:?}", case.per_s);
            let late = served.refused_late as f64 / served.asked as f64;
            assert!(late <= case.refused_late, "{} a second, seed {seed}: {served:?}", case.per_s);
            assert!(served.late <= served.in_time / 10, "seed {seed}: {served:?}");
        }
    }
}
