//! Guards against plans and confirms that lose, repeat or misreport a change.

mod common;

use common::{author, changes, fleet, limit, service, time};
use fescuemux_core::config::{Intent, Outcome};
use fescuemux_wire::config::ChunkSet;

#[test]
fn confirmed_content_is_loaded() {
    let fleet = fleet();
    let id = fleet.propose(changes([service("permits", 8), limit("a", 5)]));
    let outcome = fleet.config.confirm(id, author(), time()).unwrap().outcome;
    assert_eq!(outcome, Outcome::Confirmed(1));
    let mut chunks = ChunkSet::new();
    let snapshot = fleet.config.load(None, &mut chunks).unwrap().newer.unwrap();
    assert_eq!(snapshot.config.services["permits"].floor_slots, 8);
    assert_eq!(snapshot.config.callers["a"].rate_per_s, 5);
    let again = fleet.config.load(Some(&snapshot.head), &mut chunks).unwrap();
    assert_eq!(again.newer, None);
}

#[test]
fn return_to_older_content_is_a_new_generation() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    fleet.confirm_new(changes([service("permits", 9)]));
    let outcome = fleet.confirm_new(Intent::ReturnTo(1));
    assert_eq!(outcome, Outcome::Confirmed(3));
    assert_eq!(fleet.content().services["permits"].floor_slots, 8);
}
