//! Runs a confirm concurrently with a sweep, and with another confirm, in every order of their
//! first calls. Fails if a sweep deletes a chunk that a confirm is about to refer to, or if
//! concurrent confirms return false outcomes.

mod common;

use common::turns::run_in_order;
use common::{Fleet, author, changes, fleet, limit, service, time};
use fescuemux_core::base::PlanId;
use fescuemux_core::config::{CHUNK_PREFIX, ConfirmOutcome, HEAD_KEY, NotConfirmedReason};
use fescuemux_store::config_store::{ConfigStore, SweepResult};
use fescuemux_store::{Mutation, Precondition, Store};
use fescuemux_wire::config::{ChunkSet, decode_head};
use std::time::Duration;

/// Number of calls whose order is varied. A confirm and a sweep make at most 6 calls each here.
const ORDERED_CALLS: u32 = 11;

fn confirm(store: impl Store, plan: PlanId) -> ConfirmOutcome {
    let config = ConfigStore::new(store).with_retry_delay(Duration::ZERO);
    config.confirm(plan, author(), time()).unwrap().outcome
}

fn sweep(store: impl Store) {
    let _: SweepResult = ConfigStore::new(store).sweep().unwrap();
}

/// Sweep with a fault: it does not write the head before it deletes chunks.
fn sweep_without_head_write(store: impl Store) {
    let chunks = store.list(CHUNK_PREFIX).unwrap();
    let head = decode_head(&store.get(HEAD_KEY).unwrap().unwrap().value).unwrap();
    let referenced = head.chunks();
    for chunk in chunks {
        if !referenced.iter().any(|name| fescuemux_core::config::chunk_key(name) == chunk.key) {
            let precondition = Precondition::Version(chunk.version);
            store.compare_and_swap(&chunk.key, precondition, Mutation::Delete).unwrap();
        }
    }
}

/// Sweep with a fault: it reads the head before it lists the chunks.
fn sweep_with_late_list(store: impl Store) {
    let entry = store.get(HEAD_KEY).unwrap().unwrap();
    let unchanged_head = Mutation::Put { value: &entry.value, lease: None };
    store.compare_and_swap(HEAD_KEY, Precondition::Version(entry.version), unchanged_head).unwrap();
    let referenced = decode_head(&entry.value).unwrap().chunks();
    for chunk in store.list(CHUNK_PREFIX).unwrap() {
        if !referenced.iter().any(|name| fescuemux_core::config::chunk_key(name) == chunk.key) {
            let precondition = Precondition::Version(chunk.version);
            store.compare_and_swap(&chunk.key, precondition, Mutation::Delete).unwrap();
        }
    }
}

/// Returns a fleet with one generation and a plan whose chunk is already in the store, as after an
/// abandoned confirm.
fn fleet_with_orphan_chunk() -> (Fleet, PlanId) {
    let (twin, fleet) = (fleet(), fleet());
    for fleet in [&twin, &fleet] {
        fleet.confirm_new(changes([service("permits", 8)]));
    }
    twin.confirm_new(changes([service("permits", 9)]));
    for key in twin.memory.peek_keys(CHUNK_PREFIX) {
        let value = twin.memory.peek(&key).unwrap().value;
        let mutation = Mutation::Put { value: &value, lease: None };
        fleet.memory.compare_and_swap(&key, Precondition::Absent, mutation).unwrap();
    }
    let plan = fleet.propose(changes([service("permits", 9)]));
    (fleet, plan)
}

/// Returns the orders of calls in which content is lost or the confirm fails.
fn orders_with_loss(sweep: fn(common::turns::TurnStore)) -> Vec<u32> {
    let has_loss = |order: &u32| {
        let (fleet, plan) = fleet_with_orphan_chunk();
        let confirm = |store| confirm(store, plan);
        let (outcome, ()) = run_in_order(&fleet.memory, *order, ORDERED_CALLS, confirm, sweep);
        let loaded = ConfigStore::new(&*fleet.memory).load(None, &mut ChunkSet::new());
        outcome != ConfirmOutcome::Confirmed(2) || loaded.is_err()
    };
    (0..1 << ORDERED_CALLS).filter(has_loss).collect()
}

#[test]
fn sweep_keeps_chunks_of_a_concurrent_confirm() {
    assert_eq!(orders_with_loss(sweep), Vec::<u32>::new());
}

#[test]
fn faulty_sweeps_are_detected() {
    let faulty_sweeps: [(_, fn(common::turns::TurnStore)); 2] =
        [("no fence", sweep_without_head_write), ("late list", sweep_with_late_list)];
    for (name, sweep) in faulty_sweeps {
        let loss_count = orders_with_loss(sweep).len();
        println!("{name}: content is lost in {loss_count} of {} orders", 1 << ORDERED_CALLS);
        assert!(loss_count > 0, "{name} is not detected");
    }
}

#[test]
fn sweep_deletes_unreferenced_chunks() {
    let (fleet, _) = fleet_with_orphan_chunk();
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
fn concurrent_confirms_have_true_outcomes_in_every_order() {
    for order in 0..1 << ORDERED_CALLS {
        let fleet = fleet();
        fleet.confirm_new(changes([service("permits", 8)]));
        let plans = [9, 10].map(|floor| fleet.propose(changes([service("permits", floor)])));
        let (first, second) = run_in_order(
            &fleet.memory,
            order,
            ORDERED_CALLS,
            |store| confirm(store, plans[0]),
            |store| confirm(store, plans[1]),
        );
        let stale = ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(2));
        let floor = match (first, second) {
            (ConfirmOutcome::Confirmed(2), other) if other == stale => 9,
            (other, ConfirmOutcome::Confirmed(2)) if other == stale => 10,
            other => panic!("order {order:b}: {other:?}"),
        };
        assert_eq!(fleet.content().services["permits"].floor_slots, floor);
    }
}
