//! Guards against faults of the stand-in store that do less than they promise, which would make
//! tests of their users pass for no reason.

use fescuemux_standins::store::{MemoryStore, StoreFault};
use fescuemux_store::{Change, Effect, Expect, Renewal, Store, Swap, Watched};
use std::time::Duration;

const PUT: Change<'static> = Change::Put { value: b"v", lease: None };

#[test]
fn lapsed_leases_take_their_keys() {
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
fn slow_calls_take_virtual_time() {
    let store = MemoryStore::with_virtual_clock();
    let lease = store.lease_grant(Duration::from_secs(60)).unwrap();
    store.set_fault(StoreFault::Slow(Duration::from_secs(61)));
    assert_eq!(store.lease_renew(lease).unwrap(), Renewal::Lapsed);
}

#[test]
fn stale_reads_answer_old_values_and_writes_decide_on_new_ones() {
    let store = MemoryStore::with_virtual_clock();
    let Swap::Done(old) = store.compare_and_swap("k", Expect::Absent, PUT).unwrap() else {
        panic!("creation conflicts");
    };
    store.set_fault(StoreFault::StaleReads);
    let Swap::Done(new) = store.compare_and_swap("k", Expect::Version(old), PUT).unwrap() else {
        panic!("a write is decided on old data");
    };
    assert_eq!(store.get("k").unwrap().unwrap().version, old);
    assert_eq!(store.watch("k", old, Duration::ZERO).unwrap(), Watched::TimedOut);
    assert_eq!(store.list("").unwrap()[0].version, old);
    let late = store.compare_and_swap("k", Expect::Version(old), PUT).unwrap();
    assert_eq!(late, Swap::Conflict(Some(new)));
    store.set_fault(StoreFault::None);
    assert_eq!(store.get("k").unwrap().unwrap().version, new);
}

#[test]
fn counted_faults_run_out_and_add_up() {
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
