//! Replays on virtual time how the age of a confirmation spreads over load queries and replies that
//! take time, between instances that freeze. The messages are modeled; what an instance makes of
//! them is the library's.

use fescuemux_core::base::Cx;
use fescuemux_core::placement::{ConfigFreshness, ReportedAge};
use rand::Rng;
use std::time::{Duration, Instant};

/// Time for which the store answers no instance.
const OUTAGE: Duration = Duration::from_secs(8);

enum Message {
    Query { from: usize, sent_at: Instant },
    Reply { query_sent_at: Instant, age: ReportedAge },
}

struct Node {
    freshness: ConfigFreshness,
    /// Messages by arrival, which is after the end of a freeze.
    inbox: Vec<(Instant, Message)>,
    frozen_until: Instant,
}

struct Case {
    name: &'static str,
    size: usize,
    /// Queries of each instance per second.
    query_rate: f64,
    /// Maximum time in transit, in milliseconds.
    max_transit_ms: u64,
    /// Probability that an instance freezes, per second, for up to four seconds.
    freeze_rate: f64,
}

/// Returns the smallest age that an instance reports at the end of the outage.
fn smallest_age_after_outage(case: &Case, seed: u64) -> Duration {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut nodes: Vec<Node> = (0..case.size)
        .map(|_| {
            let mut freshness = ConfigFreshness::new(0.5);
            freshness.confirm(start);
            Node { freshness, inbox: Vec::new(), frozen_until: start }
        })
        .collect();
    for ms in 1..=OUTAGE.as_millis() as u64 {
        let now = start + Duration::from_millis(ms);
        for index in 0..nodes.len() {
            if nodes[index].frozen_until > now {
                continue;
            }
            if cx.rng.random_bool(case.freeze_rate / 1_000.0) {
                let freeze = Duration::from_millis(cx.rng.random_range(100..4_000));
                nodes[index].frozen_until = now + freeze;
                continue;
            }
            let (arrived, later) =
                std::mem::take(&mut nodes[index].inbox).into_iter().partition(|(at, _)| *at <= now);
            nodes[index].inbox = later;
            let transit = |cx: &mut Cx| {
                now + Duration::from_millis(cx.rng.random_range(1..=case.max_transit_ms))
            };
            let arrived: Vec<(Instant, Message)> = arrived;
            for (_, message) in arrived {
                match message {
                    Message::Query { from, sent_at } => {
                        let age = nodes[index].freshness.reported_age(now);
                        let reply = Message::Reply { query_sent_at: sent_at, age };
                        let arrival = transit(&mut cx);
                        nodes[from].inbox.push((arrival, reply));
                    }
                    Message::Reply { query_sent_at, age } => {
                        nodes[index].freshness.confirm_by_reply(query_sent_at, age);
                    }
                }
            }
            if cx.rng.random_bool(case.query_rate / 1_000.0) {
                let to = cx.rng.random_range(0..nodes.len());
                let arrival = transit(&mut cx);
                nodes[to].inbox.push((arrival, Message::Query { from: index, sent_at: now }));
            }
        }
    }
    let end = start + OUTAGE;
    nodes.iter().filter_map(|node| node.freshness.age(end)).min().expect("an age")
}

/// A confirmation that instances pass on to each other must not look younger than the store's last
/// answer; otherwise no instance reads the store while the readers cannot.
#[test]
fn a_confirmation_that_is_passed_on_grows_old() {
    let calm = Case {
        name: "77 instances",
        size: 77,
        query_rate: 60.0,
        max_transit_ms: 4,
        freeze_rate: 0.0,
    };
    let cases = [
        Case { name: "two instances", size: 2, query_rate: 200.0, ..calm },
        Case { name: "slow links", max_transit_ms: 60, ..calm },
        Case { name: "freezes", freeze_rate: 0.1, ..calm },
        Case { name: "300 instances", size: 300, query_rate: 20.0, ..calm },
        calm,
    ];
    for (case, seed) in cases.iter().zip(1..) {
        let smallest = smallest_age_after_outage(case, seed);
        assert!(smallest >= OUTAGE, "{}, seed {seed}: {smallest:?}", case.name);
    }
}
