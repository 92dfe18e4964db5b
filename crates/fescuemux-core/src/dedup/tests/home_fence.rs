use crate::base::InstanceId;
use crate::dedup::{FenceReason, HomeFence, Permission, Roster};
use std::time::{Duration, Instant};

struct Heard {
    peer: &'static str,
    /// Seconds after the start at which the request of the exchange was sent.
    at_s: u64,
    epoch: u64,
}

struct FenceCase {
    guards_against: &'static str,
    heard: Vec<Heard>,
    /// Seconds after the start at which permission is asked.
    asked_s: u64,
    bootstrap: bool,
    expected: Permission,
}

fn check(case: FenceCase) {
    let start = Instant::now();
    let roster = Roster { epoch: 2, instances: ["a", "b", "c"].map(InstanceId::new).to_vec() };
    let mut fence = HomeFence::default();
    let own = InstanceId::new("a");
    for heard in &case.heard {
        let sent = start + Duration::from_secs(heard.at_s);
        fence.on_exchange(&InstanceId::new(heard.peer), sent, heard.epoch);
        fence.permission(sent, &own, &roster, case.bootstrap);
    }
    let asked = start + Duration::from_secs(case.asked_s);
    let permission = fence.permission(asked, &own, &roster, case.bootstrap);
    assert_eq!(permission, case.expected, "{}", case.guards_against);
}

#[test]
fn permission_needs_a_recent_majority_with_this_epoch() {
    let b = |at_s, epoch| Heard { peer: "b", at_s, epoch };
    let cases = [
        FenceCase {
            guards_against: "a home cut off from all peers",
            heard: vec![],
            asked_s: 100,
            bootstrap: true,
            expected: Permission::Refuse(FenceReason::NoMajority),
        },
        FenceCase {
            guards_against: "a home that was paused past the fence",
            heard: vec![b(0, 2)],
            asked_s: 20,
            bootstrap: true,
            expected: Permission::Refuse(FenceReason::NoMajority),
        },
        FenceCase {
            guards_against: "a home that acts on an old roster",
            heard: vec![b(0, 3)],
            asked_s: 1,
            bootstrap: true,
            expected: Permission::Refuse(FenceReason::StaleRoster),
        },
        FenceCase {
            guards_against: "a new home that overlaps with the earlier one",
            heard: vec![b(0, 2), b(50, 2)],
            asked_s: 59,
            bootstrap: false,
            expected: Permission::Refuse(FenceReason::Waiting),
        },
        FenceCase {
            guards_against: "counting the wait from peers that still have the old roster",
            heard: vec![b(0, 1), b(50, 2)],
            asked_s: 61,
            bootstrap: false,
            expected: Permission::Refuse(FenceReason::Waiting),
        },
        FenceCase {
            guards_against: "a home that never starts",
            heard: vec![b(0, 2), b(50, 2)],
            asked_s: 60,
            bootstrap: false,
            expected: Permission::Grant { fresh: true },
        },
    ];
    cases.into_iter().for_each(check);
}

#[test]
fn history_restarts_once_per_epoch() {
    let start = Instant::now();
    let own = InstanceId::new("a");
    let mut roster = Roster { epoch: 1, instances: vec![own.clone()] };
    let mut fence = HomeFence::default();
    assert_eq!(fence.permission(start, &own, &roster, true), Permission::Grant { fresh: true });
    assert_eq!(fence.permission(start, &own, &roster, true), Permission::Grant { fresh: false });
    roster.epoch = 2;
    assert_eq!(fence.permission(start, &own, &roster, true), Permission::Grant { fresh: true });
}
