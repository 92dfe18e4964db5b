//! Replays nearly full services with faulty servers, and compares one batch of load queries with
//! as many as [`should_query_more`] asks for.

use crate::support::{load_report, ms};
use fescuemux_core::base::Cx;
use fescuemux_core::placement::{
    LoadReport, Peer, PeerDirectory, PlacementCost, rank, should_query_more,
};
use rand::Rng;
use std::time::Instant;

/// Instances that are queried at once.
const BATCH: usize = 5;

struct Server {
    free_slots: u32,
    is_faulty: bool,
}

fn report(server: &Server) -> LoadReport {
    LoadReport {
        used_slots: 4 - server.free_slots,
        queued: u32::from(server.free_slots == 0) * 2,
        expected_wait: ms(if server.free_slots == 0 { 500 } else { 0 }),
        failure_probability: if server.is_faulty { 0.97 } else { 0.02 },
        ..load_report()
    }
}

/// Returns how many of 2,000 requests go to a queue or a faulty server although a healthy server
/// has a free slot. One healthy server in five has one; one server in five is faulty.
fn misplaced(server_count: usize, max_batches: usize) -> usize {
    let now = Instant::now();
    let mut cx = Cx::new(now, 7);
    let mut directory = PeerDirectory::default();
    for index in 0..server_count {
        directory.insert(
            now,
            Peer {
                id: index.to_string().into(),
                addr: ([127, 0, 0, 1], 9000).into(),
                domain: "a".into(),
                service: "orders".into(),
                incarnation: 1,
            },
        );
    }
    let mut misplaced = 0;
    for _ in 0..2_000 {
        let servers: Vec<_> = (0..server_count)
            .map(|_| {
                let is_faulty = cx.rng.random_bool(0.2);
                let has_free_slot = is_faulty || cx.rng.random_bool(0.2);
                Server { free_slots: u32::from(has_free_slot), is_faulty }
            })
            .collect();
        let (mut excluded, mut offers) = (Vec::new(), Vec::new());
        for batch_count in 1.. {
            let peers = directory.sample(&mut cx, "orders", "a", BATCH, &excluded);
            let indices: Vec<usize> =
                peers.iter().map(|peer| peer.id.parse().expect("an index")).collect();
            excluded.extend(peers.into_iter().map(|peer| peer.id));
            offers.extend(indices.iter().map(|index| (*index, report(&servers[*index]))));
            let reports = offers.iter().map(|(_, report)| *report);
            if batch_count == max_batches
                || indices.is_empty()
                || !should_query_more(batch_count, reports)
            {
                break;
            }
        }
        rank(&mut offers, &PlacementCost::default(), 4.0, false, |(_, report)| (true, *report));
        let best = &servers[offers[0].0];
        let had_free_slot = servers.iter().any(|s| s.free_slots > 0 && !s.is_faulty);
        let is_well_placed = best.free_slots > 0 && !best.is_faulty;
        misplaced += usize::from(had_free_slot && !is_well_placed);
    }
    misplaced
}

/// Under high load a small batch often contains neither a healthy server with a free slot nor a
/// short queue, although the service has some.
#[test]
fn requests_find_the_free_slots_of_a_nearly_full_service() {
    struct Case {
        server_count: usize,
        max_misplaced_share: f64,
    }
    // Three batches of a small service are all of its servers. In a large one, the share without a
    // free healthy slot among 15 is 0.84 to the power of 15.
    let cases = [
        Case { server_count: 9, max_misplaced_share: 0.0 },
        Case { server_count: 41, max_misplaced_share: 0.1 },
        Case { server_count: 173, max_misplaced_share: 0.1 },
    ];
    for Case { server_count, max_misplaced_share } in cases {
        let share = misplaced(server_count, usize::MAX) as f64 / 2_000.0;
        assert!(share <= max_misplaced_share, "{server_count} servers: {share}");
        // The replay shows the fault only if a single batch misplaces many.
        let share_of_one_batch = misplaced(server_count, 1) as f64 / 2_000.0;
        assert!(
            share_of_one_batch > 2.0 * max_misplaced_share,
            "{server_count} servers, one batch: {share_of_one_batch}"
        );
    }
}
