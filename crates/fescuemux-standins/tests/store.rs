//! Guards against injected store faults without effect. Tests that rely on them would pass
//! without testing anything.

use fescuemux_standins::store::{MemoryStore, StoreFault};
use fescuemux_store::{Change, Effect, Expect, Renewal, Store, Swap, Watched};
use std::time::Duration;

const PUT: Change<'static> = Change::Put { value: b"v", lease: None };

#[test]
fn expired_leases_remove_their_keys() {
    let store = MemoryStore::with_virtual_clock();
    let lease = store.lease_grant(Duration::from_secs(60)).unwrap();
    let bound = Change::Put { value: b"v", lease: Some(lease) };
    store.compare_and_swap("bound", Expect::Absent, bound).unwrap();
    store.compare_and_swap("free", Expect::Absent, PUT).unwrap();
    store.set_fault(StoreFault::ExpireLeases);
    assert_eq!(store.lease_renew(lease).unwrap(), Renewal::Lapsed);
    assert_eq!(store.peek_keys(""), ["free"]);
}

#[test]
fn slow_calls_advance_the_virtual_clock() {
    let store = MemoryStore::with_virtual_clock();
    let lease = store.lease_grant(Duration::from_secs(60)).unwrap();
    store.set_fault(StoreFault::Slow(Duration::from_secs(61)));
    assert_eq!(store.lease_renew(lease).unwrap(), Renewal::Lapsed);
}

#[test]
fn stale_reads_return_old_values_while_writes_use_current_ones() {
    let store = MemoryStore::with_virtual_clock();
    let Swap::Done(old) = store.compare_and_swap("k", Expect::Absent, PUT).unwrap() else {
        panic!("creating the key conflicts");
    };
    store.set_fault(StoreFault::StaleReads);
    let Swap::Done(new) = store.compare_and_swap("k", Expect::Version(old), PUT).unwrap() else {
        panic!("the write is compared with stale data");
    };
    assert_eq!(store.get("k").unwrap().unwrap().version, old);
    assert_eq!(store.watch("k", old, Duration::ZERO).unwrap(), Watched::TimedOut);
    assert_eq!(store.list("").unwrap()[0].version, old);
    let outdated_swap = store.compare_and_swap("k", Expect::Version(old), PUT).unwrap();
    assert_eq!(outdated_swap, Swap::Conflict(Some(new)));
    store.set_fault(StoreFault::None);
    assert_eq!(store.get("k").unwrap().unwrap().version, new);
}

#[test]
fn counted_faults_accumulate_and_are_used_up() {
    let store = MemoryStore::with_virtual_clock();
    store.set_fault(StoreFault::LoseReplies(1));
    store.set_fault(StoreFault::LoseWrites(1));
    let put = |key| store.compare_and_swap(key, Expect::Absent, PUT).map_err(|e| e.effect);
    assert_eq!(put("lost"), Err(Effect::Unknown));
    assert_eq!(put("unanswered"), Err(Effect::Unknown));
    assert!(put("answered").is_ok());
    assert_eq!(store.peek_keys(""), ["answered", "unanswered"]);
    assert_eq!(store.counters().writes, 3, "lost calls count as well");
}
