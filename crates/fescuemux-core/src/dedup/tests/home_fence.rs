use crate::base::{InstanceId, ServiceId};
use crate::dedup::{ClaimRefusal, ClockReading, HomeFence, Permission, Roster};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const OWN: &str = "a";

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

/// Returns a key whose home is `home` under each of the rosters.
fn key_with_homes(rosters: &[(&Roster, &str)]) -> String {
    (0..100_000)
        .map(|n| format!("key-{n}"))
        .find(|key| rosters.iter().all(|(r, home)| r.home(&service(), key).unwrap() == home))
        .unwrap()
}

struct Heard {
    peer: &'static str,
    /// Seconds after the start at which the request of the exchange was sent.
    at_s: u64,
    epoch: u64,
    settled: bool,
}

struct FenceCase {
    guards_against: &'static str,
    /// Epoch of the only roster.
    epoch: u64,
    heard: Vec<Heard>,
    /// Seconds after the start at which permission is asked.
    asked_s: u64,
    /// Seconds since which the home is complete, or the reason for refusing.
    expected: Result<u64, ClaimRefusal>,
}

fn check(case: FenceCase) {
    let clock = Clock { start: Instant::now() };
    let own = InstanceId::new(OWN);
    let members = roster(case.epoch, &["a", "b", "c"]);
    let key = key_with_homes(&[(&members, OWN)]);
    let mut fence = HomeFence::default();
    fence.adopt(clock.at(0), members);
    for heard in &case.heard {
        let sent = clock.at(heard.at_s);
        fence.on_exchange(&InstanceId::new(heard.peer), sent.monotonic, heard.epoch, heard.settled);
        fence.tick(sent, &own);
    }
    let asked = clock.at(case.asked_s);
    fence.tick(asked, &own);
    let permission = fence.permission(asked.monotonic, &own, &service(), &key);
    let expected = match case.expected {
        Ok(seconds) => Permission::Grant { since: clock.at(seconds) },
        Err(reason) => Permission::Refuse(reason),
    };
    assert_eq!(permission, expected, "{}", case.guards_against);
}

#[test]
fn permission_needs_a_recent_majority_with_this_epoch() {
    let b = |at_s, epoch| Heard { peer: "b", at_s, epoch, settled: false };
    let cases = [
        FenceCase {
            guards_against: "a home cut off from all peers",
            epoch: 1,
            heard: vec![],
            asked_s: 100,
            expected: Err(ClaimRefusal::NoMajority),
        },
        FenceCase {
            guards_against: "a home that was paused past the fence",
            epoch: 1,
            heard: vec![b(0, 1)],
            asked_s: 20,
            expected: Err(ClaimRefusal::NoMajority),
        },
        FenceCase {
            guards_against: "a home that acts on an old roster",
            epoch: 2,
            heard: vec![b(0, 3)],
            asked_s: 1,
            expected: Err(ClaimRefusal::StaleRoster),
        },
        FenceCase {
            guards_against: "making the first roster wait for a predecessor",
            epoch: 1,
            heard: vec![b(1, 1)],
            asked_s: 2,
            expected: Ok(0),
        },
        FenceCase {
            guards_against: "a new home that overlaps with the earlier one",
            epoch: 2,
            heard: vec![b(0, 2), b(50, 2)],
            asked_s: 59,
            expected: Err(ClaimRefusal::Waiting),
        },
        FenceCase {
            guards_against: "counting the wait from peers that still have the old roster",
            epoch: 2,
            heard: vec![b(0, 1), b(50, 2)],
            asked_s: 61,
            expected: Err(ClaimRefusal::Waiting),
        },
        FenceCase {
            guards_against: "a home that never starts",
            epoch: 2,
            heard: vec![b(0, 2), b(50, 2)],
            asked_s: 60,
            expected: Ok(60),
        },
        FenceCase {
            guards_against: "a restarted home that waits for a roster settled long ago",
            epoch: 7,
            heard: vec![Heard { peer: "c", at_s: 3, epoch: 7, settled: true }],
            asked_s: 4,
            expected: Ok(3),
        },
    ];
    cases.into_iter().for_each(check);
}

struct MoveCase {
    guards_against: &'static str,
    /// Homes of the key under epochs 1, 2 and so on.
    homes: Vec<&'static str>,
    /// Epochs that this home adopts.
    adopted: Vec<u64>,
    expected: Result<u64, ClaimRefusal>,
}

#[test]
fn only_keys_that_moved_wait() {
    let epochs = [
        roster(1, &["a", "b", "c"]),
        roster(2, &["a", "c", "d"]),
        roster(3, &["a", "c", "d", "e"]),
    ];
    let cases = [
        MoveCase {
            guards_against: "refusing keys that stay while an instance joins",
            homes: vec!["a", "a"],
            adopted: vec![1, 2],
            expected: Ok(0),
        },
        MoveCase {
            guards_against: "a long wait although every earlier home has the new roster",
            homes: vec!["b", "a"],
            adopted: vec![1, 2],
            expected: Ok(3),
        },
        MoveCase {
            guards_against: "a key that went away and is refused here for good",
            homes: vec!["a", "d"],
            adopted: vec![1, 2],
            expected: Err(ClaimRefusal::NotHome),
        },
        MoveCase {
            guards_against: "trusting the past of a home that skipped an epoch",
            homes: vec!["a", "a", "a"],
            adopted: vec![1, 3],
            expected: Err(ClaimRefusal::Waiting),
        },
    ];
    for case in cases {
        let clock = Clock { start: Instant::now() };
        let own = InstanceId::new(OWN);
        let homes: Vec<(&Roster, &str)> = epochs.iter().zip(case.homes.clone()).collect();
        let key = key_with_homes(&homes);
        let mut fence = HomeFence::default();
        for epoch in &case.adopted {
            fence.adopt(clock.at(*epoch - 1), epochs[*epoch as usize - 1].clone());
            fence.tick(clock.at(*epoch - 1), &own);
        }
        let epoch = *case.adopted.last().unwrap();
        for peer in ["b", "c", "d"] {
            fence.on_exchange(&InstanceId::new(peer), clock.at(3).monotonic, epoch, false);
        }
        fence.tick(clock.at(3), &own);
        let permission = fence.permission(clock.at(4).monotonic, &own, &service(), &key);
        let expected = match case.expected {
            Ok(seconds) => Permission::Grant { since: clock.at(seconds) },
            Err(reason) => Permission::Refuse(reason),
        };
        assert_eq!(permission, expected, "{}", case.guards_against);
    }
}

#[test]
fn a_silent_earlier_home_delays_the_keys_that_leave_it() {
    let clock = Clock { start: Instant::now() };
    let own = InstanceId::new(OWN);
    let (before, after) = (roster(1, &["a", "b", "c"]), roster(2, &["a", "c"]));
    let key = key_with_homes(&[(&before, "b"), (&after, OWN)]);
    let mut fence = HomeFence::default();
    fence.adopt(clock.at(0), before);
    fence.adopt(clock.at(1), after);
    let mut permission = |seconds| {
        let now = clock.at(seconds);
        fence.on_exchange(&InstanceId::new("c"), now.monotonic, 2, false);
        fence.tick(now, &own);
        fence.permission(now.monotonic, &own, &service(), &key)
    };
    assert_eq!(permission(2), Permission::Refuse(ClaimRefusal::Waiting));
    assert_eq!(permission(61), Permission::Refuse(ClaimRefusal::Waiting));
    assert_eq!(permission(62), Permission::Grant { since: clock.at(62) });
}
