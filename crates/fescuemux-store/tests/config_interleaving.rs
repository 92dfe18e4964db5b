//! Runs a confirm against a sweep, and against another confirm, in every order of their first
//! calls. Guards against a sweep that deletes a chunk which a confirm is about to name, and
//! against false outcomes of racing confirms.

mod common;

use common::turns::run_in_turns;
use common::{Fleet, author, changes, fleet, limit, service, time};
use fescuemux_core::base::PlanId;
use fescuemux_core::config::{CHUNK_PREFIX, ConfirmOutcome, HEAD_KEY, NotConfirmedReason};
use fescuemux_store::config_store::{ConfigStore, SweepResult};
use fescuemux_store::{Mutation, Precondition, Store};
use fescuemux_wire::config::{ChunkSet, decode_head};
use std::time::Duration;

/// Calls whose order is given; a confirm and a sweep make at most 6 each here.
const CALLS: u32 = 11;

fn confirm(store: impl Store, plan: PlanId) -> ConfirmOutcome {
    let config = ConfigStore::new(store).with_retry_delay(Duration::ZERO);
    config.confirm(plan, author(), time()).unwrap().outcome
}

fn sweep(store: impl Store) {
    let _: SweepResult = ConfigStore::new(store).sweep().unwrap();
}

/// A sweep that does not write the head before it deletes.
fn sweep_without_fence(store: impl Store) {
    let listed = store.list(CHUNK_PREFIX).unwrap();
    let head = decode_head(&store.get(HEAD_KEY).unwrap().unwrap().value).unwrap();
    let kept = head.chunks();
    for chunk in listed {
        if !kept.iter().any(|name| fescuemux_core::config::chunk_key(name) == chunk.key) {
            let expect = Precondition::Version(chunk.version);
            store.compare_and_swap(&chunk.key, expect, Mutation::Delete).unwrap();
        }
    }
}

/// A sweep that reads the head before it lists the chunks.
fn sweep_with_late_list(store: impl Store) {
    let entry = store.get(HEAD_KEY).unwrap().unwrap();
    let fence = Mutation::Put { value: &entry.value, lease: None };
    store.compare_and_swap(HEAD_KEY, Precondition::Version(entry.version), fence).unwrap();
    let kept = decode_head(&entry.value).unwrap().chunks();
    for chunk in store.list(CHUNK_PREFIX).unwrap() {
        if !kept.iter().any(|name| fescuemux_core::config::chunk_key(name) == chunk.key) {
            let expect = Precondition::Version(chunk.version);
            store.compare_and_swap(&chunk.key, expect, Mutation::Delete).unwrap();
        }
    }
}

/// Returns a fleet with one generation and a plan whose chunk already lies in the store, as an
/// abandoned confirm leaves it.
fn fleet_with_orphan() -> (Fleet, PlanId) {
    let (twin, fleet) = (fleet(), fleet());
    for fleet in [&twin, &fleet] {
        fleet.confirm_new(changes([service("permits", 8)]));
    }
    twin.confirm_new(changes([service("permits", 9)]));
    for key in twin.memory.peek_keys(CHUNK_PREFIX) {
        let value = twin.memory.peek(&key).unwrap().value;
        let change = Mutation::Put { value: &value, lease: None };
        fleet.memory.compare_and_swap(&key, Precondition::Absent, change).unwrap();
    }
    let plan = fleet.propose(changes([service("permits", 9)]));
    (fleet, plan)
}

/// Returns the orders of calls after which the content is lost or the confirm failed.
fn lossy_orders(sweep: fn(common::turns::TurnStore)) -> Vec<u32> {
    let is_lossy = |bits: &u32| {
        let (fleet, plan) = fleet_with_orphan();
        let confirm = |store| confirm(store, plan);
        let (outcome, ()) = run_in_turns(&fleet.memory, *bits, CALLS, confirm, sweep);
        let loaded = ConfigStore::new(&*fleet.memory).load(None, &mut ChunkSet::new());
        outcome != ConfirmOutcome::Confirmed(2) || loaded.is_err()
    };
    (0..1 << CALLS).filter(is_lossy).collect()
}

#[test]
fn sweep_keeps_what_a_confirm_names() {
    assert_eq!(lossy_orders(sweep), Vec::<u32>::new());
}

#[test]
fn broken_sweeps_are_caught() {
    let broken: [(_, fn(common::turns::TurnStore)); 2] =
        [("no fence", sweep_without_fence), ("late list", sweep_with_late_list)];
    for (name, sweep) in broken {
        let lossy = lossy_orders(sweep).len();
        println!("{name}: content is lost in {lossy} of {} orders", 1 << CALLS);
        assert!(lossy > 0, "{name} is not caught");
    }
}

#[test]
fn sweep_deletes_what_the_history_does_not_need() {
    let (fleet, _) = fleet_with_orphan();
    assert_eq!(fleet.config.sweep().unwrap(), SweepResult::Deleted(1));
    assert_eq!(fleet.config.sweep().unwrap(), SweepResult::Deleted(0));
    for i in 0..70 {
        fleet.confirm_new(changes([limit("a", i)]));
    }
    fleet.config.sweep().unwrap();
    let head = decode_head(&fleet.memory.peek(HEAD_KEY).unwrap().value).unwrap();
    assert_eq!(fleet.memory.peek_keys(CHUNK_PREFIX).len(), head.chunks().len());
    for record in head.records() {
        let names = head.names_at(record.generation).unwrap();
        assert!(names.iter().all(|(_, name)| head.chunks().contains(&name)));
    }
}

#[test]
fn racing_confirms_are_reported_truly_in_every_order() {
    for bits in 0..1 << CALLS {
        let fleet = fleet();
        fleet.confirm_new(changes([service("permits", 8)]));
        let plans = [9, 10].map(|floor| fleet.propose(changes([service("permits", floor)])));
        let (first, second) = run_in_turns(
            &fleet.memory,
            bits,
            CALLS,
            |store| confirm(store, plans[0]),
            |store| confirm(store, plans[1]),
        );
        let late = ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(2));
        let floor = match (first, second) {
            (ConfirmOutcome::Confirmed(2), other) if other == late => 9,
            (other, ConfirmOutcome::Confirmed(2)) if other == late => 10,
            other => panic!("order {bits:b}: {other:?}"),
        };
        assert_eq!(fleet.content().services["permits"].floor_slots, floor);
    }
}
