//! Fails if a plan or confirm loses, repeats or misreports a change.

mod common;

use common::{author, changes, fleet, limit, service, time};
use fescuemux_core::base::Cx;
use fescuemux_core::config::{CapacityReport, ConfirmOutcome, CurrentHead, HeadComparison, Intent};
use fescuemux_standins::store::StandInStore;
use fescuemux_store::config_store::ConfigStore;
use fescuemux_store::{HttpStore, HttpStoreSettings};
use fescuemux_wire::config::ChunkSet;
use std::time::{Duration, Instant};

#[test]
fn confirmed_content_is_loaded() {
    let fleet = fleet();
    let id = fleet.propose(changes([service("permits", 8), limit("a", 5)]));
    let outcome = fleet.config.confirm(id, author(), time()).unwrap().outcome;
    assert_eq!(outcome, ConfirmOutcome::Confirmed(1));
    let mut chunks = ChunkSet::new();
    let snapshot = fleet.config.load(None, &mut chunks).unwrap().newer.unwrap();
    assert_eq!(snapshot.config.services["permits"].floor_slots, 8);
    assert_eq!(snapshot.config.callers["a"].rate_per_s, 5);
    let reloaded = fleet.config.load(Some(&snapshot.head), &mut chunks).unwrap();
    assert_eq!(reloaded.newer, None);
}

#[test]
fn return_to_older_content_is_a_new_generation() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    fleet.confirm_new(changes([service("permits", 9)]));
    let outcome = fleet.confirm_new(Intent::ReturnTo(1));
    assert_eq!(outcome, ConfirmOutcome::Confirmed(3));
    assert_eq!(fleet.content().services["permits"].floor_slots, 8);
}

/// Fails if a daemon loses the chunks in force when it loads a generation that it then rejects.
#[test]
fn load_keeps_the_chunks_in_force() {
    let (fleet, other_fleet) = (fleet(), fleet());
    fleet.confirm_new(changes([service("permits", 8)]));
    let mut chunks = ChunkSet::new();
    let installed = fleet.config.load(None, &mut chunks).unwrap().newer.unwrap();
    other_fleet.skip_plan_ids(1);
    other_fleet.confirm_new(changes([service("archive", 1)]));
    other_fleet.confirm_new(changes([service("archive", 2)]));
    let loaded =
        other_fleet.config.load(Some(&installed.head), &mut chunks).unwrap().newer.unwrap();
    let mut current = CurrentHead::new();
    current.install(installed.head);
    assert!(matches!(current.install(loaded.head), HeadComparison::Conflict { generation: 1, .. }));
    let names = &current.head().unwrap().names;
    assert_eq!(chunks.assemble(names), Ok(installed.config));
}

/// Fails if a record fits in the in-memory store but not in an HTTP request.
#[test]
fn large_content_is_confirmed_over_http() {
    let server = StandInStore::start("127.0.0.1:0").unwrap();
    let client = HttpStore::new(HttpStoreSettings::new(vec![server.addr()])).unwrap();
    let config = ConfigStore::new(client);
    let limits = (0..9_000).map(|i| limit(&format!("{}-{i}", "customer".repeat(12)), 1));
    let intent = Intent::Changes(limits.collect());
    let mut cx = Cx::new(Instant::now(), 3);
    let plan = config.propose(&mut cx, &intent, &CapacityReport::default(), author()).unwrap();
    let confirmed = config.confirm(plan.id, author(), time()).unwrap();
    assert_eq!(confirmed.outcome, ConfirmOutcome::Confirmed(1));
    let loaded = config.load(None, &mut ChunkSet::new()).unwrap();
    assert_eq!(loaded.newer.map(|snapshot| snapshot.config.callers.len()), Some(9_000));
    let watched = config.watch(0, Duration::from_secs(9)).unwrap();
    assert_eq!(watched.map(|(_, head)| head.generation()), Some(1));
    server.stop();
}
