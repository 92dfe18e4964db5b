//! Tests of the fencing of homes.

use crate::base::{InstanceId, ServiceId};
use crate::dedup::{ClaimRefusal, ClockReading, HomeFence, Permission, Roster};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LOCAL: &str = "a";

struct Clock {
    start: Instant,
}

impl Clock {
    fn at(&self, seconds: u64) -> ClockReading {
        let after = Duration::from_secs(seconds);
        let wall: SystemTime = UNIX_EPOCH + Duration::from_secs(1_700_000_000) + after;
        ClockReading { monotonic: self.start + after, wall }
    }
}

fn roster(epoch: u64, names: &[&str]) -> Roster {
    Roster { epoch, instances: names.iter().map(InstanceId::new).collect() }
}

fn service() -> ServiceId {
    ServiceId::new("order-desk")
}

/// Returns a key whose home in each roster is the instance paired with that roster.
fn key_with_homes(rosters: &[(&Roster, &str)]) -> String {
    (0..100_000)
        .map(|n| format!("key-{n}"))
        .find(|key| rosters.iter().all(|(r, home)| r.home(&service(), key).unwrap() == home))
        .unwrap()
}

struct PeerExchange {
    peer: &'static str,
    /// Seconds after the start at which the request of the exchange was sent.
    sent_at_s: u64,
    /// Epoch of the peer's roster.
    epoch: u64,
    /// Whether the peer's roster has settled at the peer.
    settled: bool,
}

struct SingleRosterCase {
    guards_against: &'static str,
    /// Epoch of the only roster that the home adopts.
    epoch: u64,
    exchanges: Vec<PeerExchange>,
    /// Seconds after the start at which permission is requested.
    checked_at_s: u64,
    /// Seconds after the start since which all claims were received, or the reason for refusal.
    expected: Result<u64, ClaimRefusal>,
}

fn check(case: SingleRosterCase) {
    let clock = Clock { start: Instant::now() };
    let local = InstanceId::new(LOCAL);
    let members = roster(case.epoch, &["a", "b", "c"]);
    let key = key_with_homes(&[(&members, LOCAL)]);
    let mut fence = HomeFence::default();
    fence.adopt(clock.at(0), members);
    for exchange in &case.exchanges {
        let sent_at = clock.at(exchange.sent_at_s);
        fence.on_exchange(
            &InstanceId::new(exchange.peer),
            sent_at.monotonic,
            exchange.epoch,
            exchange.settled,
        );
        fence.tick(sent_at, &local);
    }
    let checked_at = clock.at(case.checked_at_s);
    fence.tick(checked_at, &local);
    let permission = fence.permission(checked_at.monotonic, &local, &service(), &key);
    let expected = match case.expected {
        Ok(seconds) => Permission::Grant { since: clock.at(seconds) },
        Err(reason) => Permission::Refuse(reason),
    };
    assert_eq!(permission, expected, "{}", case.guards_against);
}

#[test]
fn permission_needs_a_recent_majority_with_this_epoch() {
    let exchange_with_b =
        |sent_at_s, epoch| PeerExchange { peer: "b", sent_at_s, epoch, settled: false };
    let cases = [
        SingleRosterCase {
            guards_against: "a home partitioned from all peers",
            epoch: 1,
            exchanges: vec![],
            checked_at_s: 100,
            expected: Err(ClaimRefusal::NoMajority),
        },
        SingleRosterCase {
            guards_against: "a home paused for longer than the fence timeout",
            epoch: 1,
            exchanges: vec![exchange_with_b(0, 1)],
            checked_at_s: 20,
            expected: Err(ClaimRefusal::NoMajority),
        },
        SingleRosterCase {
            guards_against: "a home that uses an outdated roster",
            epoch: 2,
            exchanges: vec![exchange_with_b(0, 3)],
            checked_at_s: 1,
            expected: Err(ClaimRefusal::StaleRoster),
        },
        SingleRosterCase {
            guards_against: "waiting for a predecessor of the first roster",
            epoch: 1,
            exchanges: vec![exchange_with_b(1, 1)],
            checked_at_s: 2,
            expected: Ok(0),
        },
        SingleRosterCase {
            guards_against: "granting keys at the old and the new home at once",
            epoch: 2,
            exchanges: vec![exchange_with_b(0, 2), exchange_with_b(50, 2)],
            checked_at_s: 59,
            expected: Err(ClaimRefusal::Waiting),
        },
        SingleRosterCase {
            guards_against: "starting the wait while only peers with the old roster have answered",
            epoch: 2,
            exchanges: vec![exchange_with_b(0, 1), exchange_with_b(50, 2)],
            checked_at_s: 61,
            expected: Err(ClaimRefusal::Waiting),
        },
        SingleRosterCase {
            guards_against: "a roster that never settles",
            epoch: 2,
            exchanges: vec![exchange_with_b(0, 2), exchange_with_b(50, 2)],
            checked_at_s: 60,
            expected: Ok(60),
        },
        SingleRosterCase {
            guards_against: "a restarted home that waits for a roster settled elsewhere",
            epoch: 7,
            exchanges: vec![PeerExchange { peer: "c", sent_at_s: 3, epoch: 7, settled: true }],
            checked_at_s: 4,
            expected: Ok(3),
        },
    ];
    cases.into_iter().for_each(check);
}

struct RosterSequenceCase {
    guards_against: &'static str,
    /// Homes of the key in epochs 1, 2 and so on.
    homes: Vec<&'static str>,
    /// Epochs that this home adopts.
    adopted_epochs: Vec<u64>,
    /// Seconds after the start since which all claims were received, or the reason for refusal.
    expected: Result<u64, ClaimRefusal>,
}

#[test]
fn only_moved_keys_wait_for_settling() {
    let rosters = [
        roster(1, &["a", "b", "c"]),
        roster(2, &["a", "c", "d"]),
        roster(3, &["a", "c", "d", "e"]),
    ];
    let cases = [
        RosterSequenceCase {
            guards_against: "refusing keys that stay at their home while an instance joins",
            homes: vec!["a", "a"],
            adopted_epochs: vec![1, 2],
            expected: Ok(0),
        },
        RosterSequenceCase {
            guards_against: "a long wait although every previous member has the new roster",
            homes: vec!["b", "a"],
            adopted_epochs: vec![1, 2],
            expected: Ok(3),
        },
        RosterSequenceCase {
            guards_against: "granting a key that moved to another home",
            homes: vec!["a", "d"],
            adopted_epochs: vec![1, 2],
            expected: Err(ClaimRefusal::NotHome),
        },
        RosterSequenceCase {
            guards_against: "relying on earlier rosters after a skipped epoch",
            homes: vec!["a", "a", "a"],
            adopted_epochs: vec![1, 3],
            expected: Err(ClaimRefusal::Waiting),
        },
    ];
    for case in cases {
        let clock = Clock { start: Instant::now() };
        let local = InstanceId::new(LOCAL);
        let rosters_with_homes: Vec<(&Roster, &str)> =
            rosters.iter().zip(case.homes.clone()).collect();
        let key = key_with_homes(&rosters_with_homes);
        let mut fence = HomeFence::default();
        for epoch in &case.adopted_epochs {
            fence.adopt(clock.at(*epoch - 1), rosters[*epoch as usize - 1].clone());
            fence.tick(clock.at(*epoch - 1), &local);
        }
        let epoch = *case.adopted_epochs.last().unwrap();
        for peer in ["b", "c", "d"] {
            fence.on_exchange(&InstanceId::new(peer), clock.at(3).monotonic, epoch, false);
        }
        fence.tick(clock.at(3), &local);
        let permission = fence.permission(clock.at(4).monotonic, &local, &service(), &key);
        let expected = match case.expected {
            Ok(seconds) => Permission::Grant { since: clock.at(seconds) },
            Err(reason) => Permission::Refuse(reason),
        };
        assert_eq!(permission, expected, "{}", case.guards_against);
    }
}

#[test]
fn silent_previous_home_delays_moved_keys() {
    let clock = Clock { start: Instant::now() };
    let local = InstanceId::new(LOCAL);
    let (before, after) = (roster(1, &["a", "b", "c"]), roster(2, &["a", "c"]));
    let key = key_with_homes(&[(&before, "b"), (&after, LOCAL)]);
    let mut fence = HomeFence::default();
    fence.adopt(clock.at(0), before);
    fence.adopt(clock.at(1), after);
    let mut permission_at = |seconds| {
        let now = clock.at(seconds);
        fence.on_exchange(&InstanceId::new("c"), now.monotonic, 2, false);
        fence.tick(now, &local);
        fence.permission(now.monotonic, &local, &service(), &key)
    };
    assert_eq!(permission_at(2), Permission::Refuse(ClaimRefusal::Waiting));
    assert_eq!(permission_at(61), Permission::Refuse(ClaimRefusal::Waiting));
    assert_eq!(permission_at(62), Permission::Grant { since: clock.at(62) });
}
