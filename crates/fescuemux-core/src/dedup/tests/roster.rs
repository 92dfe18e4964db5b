//! Tests of the roster of homes.

use crate::base::{InstanceId, ServiceId};
use crate::dedup::{Roster, RosterChange, RosterChangeError};
use std::time::Duration;

fn roster(names: &[&str]) -> Roster {
    Roster { epoch: 4, instances: names.iter().map(InstanceId::new).collect() }
}

struct ChangeCase {
    guards_against: &'static str,
    change: RosterChange,
    expected: Result<u64, RosterChangeError>,
}

fn expel(silences: &[(&str, u64)]) -> RosterChange {
    RosterChange::Expel {
        instance: InstanceId::new("a"),
        attestations: silences
            .iter()
            .map(|(name, s)| (InstanceId::new(name), Duration::from_secs(*s)))
            .collect(),
    }
}

#[test]
fn roster_changes_are_validated() {
    let cases = [
        ChangeCase {
            guards_against: "a member joining twice",
            change: RosterChange::Join(InstanceId::new("a")),
            expected: Err(RosterChangeError::NoChange),
        },
        ChangeCase {
            guards_against: "refusing a new member",
            change: RosterChange::Join(InstanceId::new("d")),
            expected: Ok(5),
        },
        ChangeCase {
            guards_against: "removal attested by a single member",
            change: expel(&[("b", 90)]),
            expected: Err(RosterChangeError::NoMajority),
        },
        ChangeCase {
            guards_against: "removal before the home has fenced itself",
            change: expel(&[("b", 90), ("c", 59)]),
            expected: Err(RosterChangeError::NoMajority),
        },
        ChangeCase {
            guards_against: "attestations by instances outside the roster",
            change: expel(&[("b", 90), ("x", 90), ("y", 90)]),
            expected: Err(RosterChangeError::NoMajority),
        },
        ChangeCase {
            guards_against: "keeping a dead member forever",
            change: expel(&[("b", 60), ("c", 60)]),
            expected: Ok(5),
        },
    ];
    for case in cases {
        let result = roster(&["a", "b", "c"]).apply(&case.change).map(|next| next.epoch);
        assert_eq!(result, case.expected, "{}", case.guards_against);
    }
}

#[test]
fn keys_are_balanced_and_join_moves_only_its_share() {
    let service = ServiceId::new("order-desk");
    let before = roster(&["a", "b", "c", "d", "e"]);
    let after = before.apply(&RosterChange::Join(InstanceId::new("f"))).unwrap();
    let mut counts = std::collections::BTreeMap::new();
    let mut moved_count = 0;
    for n in 0..6_000 {
        let key = format!("key-{n}");
        let home = after.home(&service, &key).unwrap();
        *counts.entry(home.clone()).or_insert(0) += 1;
        let stays = before.home(&service, &key) == Some(home);
        if !stays {
            assert_eq!(home, "f", "a key may only move to the new instance");
            moved_count += 1;
        }
    }
    assert!(counts.values().all(|count| (800..1_200).contains(count)), "{counts:?}");
    assert!((800..1_200).contains(&moved_count), "{moved_count}");
}
