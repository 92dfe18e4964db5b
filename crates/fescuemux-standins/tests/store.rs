//! Fails if an injected store fault has no effect. Tests that rely on the fault would then pass
//! without testing anything.

use fescuemux_standins::store::{MemoryStore, StoreFault};
use fescuemux_store::{
    Effect, Mutation, Precondition, RenewResult, Store, SwapResult, WatchResult,
};
use std::time::Duration;

const PUT: Mutation<'static> = Mutation::Put { value: b"v", lease: None };

#[test]
fn expired_leases_remove_their_keys() {
    let store = MemoryStore::with_virtual_clock();
    let lease = store.lease_grant(Duration::from_secs(60)).unwrap();
    let bound = Mutation::Put { value: b"v", lease: Some(lease) };
    store.compare_and_swap("bound", Precondition::Absent, bound).unwrap();
    store.compare_and_swap("free", Precondition::Absent, PUT).unwrap();
    store.set_fault(StoreFault::ExpireLeases);
    assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Expired);
    assert_eq!(store.peek_keys(""), ["free"]);
}

#[test]
fn slow_calls_advance_the_virtual_clock() {
    let store = MemoryStore::with_virtual_clock();
    let lease = store.lease_grant(Duration::from_secs(60)).unwrap();
    store.set_fault(StoreFault::Slow(Duration::from_secs(61)));
    assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Expired);
}

#[test]
fn stale_reads_return_old_values_while_writes_use_current_ones() {
    let store = MemoryStore::with_virtual_clock();
    let SwapResult::Applied(old) = store.compare_and_swap("k", Precondition::Absent, PUT).unwrap()
    else {
        panic!("creating the key conflicts");
    };
    store.set_fault(StoreFault::StaleReads);
    let SwapResult::Applied(new) =
        store.compare_and_swap("k", Precondition::Version(old), PUT).unwrap()
    else {
        panic!("the write is compared with stale data");
    };
    assert_eq!(store.get("k").unwrap().unwrap().version, old);
    assert_eq!(store.watch("k", old, Duration::ZERO).unwrap(), WatchResult::TimedOut);
    assert_eq!(store.list("").unwrap()[0].version, old);
    let outdated_swap = store.compare_and_swap("k", Precondition::Version(old), PUT).unwrap();
    assert_eq!(outdated_swap, SwapResult::Conflict(Some(new)));
    store.set_fault(StoreFault::None);
    assert_eq!(store.get("k").unwrap().unwrap().version, new);
}

#[test]
fn counted_faults_accumulate_and_are_used_up() {
    let store = MemoryStore::with_virtual_clock();
    store.set_fault(StoreFault::LoseReplies(1));
    store.set_fault(StoreFault::LoseWrites(1));
    let put = |key| store.compare_and_swap(key, Precondition::Absent, PUT).map_err(|e| e.effect);
    assert_eq!(put("lost"), Err(Effect::Unknown));
    assert_eq!(put("unanswered"), Err(Effect::Unknown));
    assert!(put("answered").is_ok());
    assert_eq!(store.peek_keys(""), ["answered", "unanswered"]);
    assert_eq!(store.counters().writes, 3, "lost calls count as well");
}
