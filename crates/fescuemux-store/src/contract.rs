//! Contract that every [`Store`] keeps. Tests call [`check`] with a store of their own.

use crate::{
    Effect, FailureKind, MAX_VALUE_BYTES, Mutation, Precondition, RenewResult, Store, SwapResult,
    WatchResult,
};
use std::time::Duration;

/// Lets time pass for the store under test: sleeps for a real one, or moves a virtual clock.
pub type AdvanceClock<'a> = &'a dyn Fn(Duration);

/// Lease time that the checks use. Long enough that a call over loopback fits many times.
const LEASE: Duration = Duration::from_millis(400);

/// Checks every promise of the interface, on keys below `prefix`.
///
/// # Panics
/// Panics at the first promise that the store breaks.
pub fn check(store: &dyn Store, prefix: &str, pass_time: AdvanceClock<'_>) {
    check_swaps(store, prefix);
    check_bounds(store, prefix);
    check_list(store, prefix);
    check_watch(store, prefix);
    check_leases(store, prefix, pass_time);
}

fn put(value: &[u8]) -> Mutation<'_> {
    Mutation::Put { value, lease: None }
}

fn check_swaps(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/swap");
    assert_eq!(store.get(&key).unwrap(), None, "a fresh key is absent");
    let missing = store.compare_and_swap(&key, Precondition::Version(1), put(b"x")).unwrap();
    assert_eq!(missing, SwapResult::Conflict(None), "an absent key has no version");
    let SwapResult::Applied(first) =
        store.compare_and_swap(&key, Precondition::Absent, put(b"a")).unwrap()
    else {
        panic!("creation of an absent key conflicts");
    };
    let again = store.compare_and_swap(&key, Precondition::Absent, put(b"b")).unwrap();
    assert_eq!(again, SwapResult::Conflict(Some(first)), "a second creation conflicts");
    let entry = store.get(&key).unwrap().unwrap();
    assert_eq!((entry.version, entry.value.as_slice()), (first, &b"a"[..]));
    let swap = store.compare_and_swap(&key, Precondition::Version(first), put(b"b")).unwrap();
    let SwapResult::Applied(second) = swap else {
        panic!("swap with the current version conflicts")
    };
    assert!(second > first, "versions grow");
    let stale =
        store.compare_and_swap(&key, Precondition::Version(first), Mutation::Delete).unwrap();
    assert_eq!(stale, SwapResult::Conflict(Some(second)), "a delete compares the version");
    let delete =
        store.compare_and_swap(&key, Precondition::Version(second), Mutation::Delete).unwrap();
    assert!(matches!(delete, SwapResult::Applied(_)));
    assert_eq!(store.get(&key).unwrap(), None, "a deleted key is absent");
    let SwapResult::Applied(third) =
        store.compare_and_swap(&key, Precondition::Absent, put(b"c")).unwrap()
    else {
        panic!("creation after a delete conflicts");
    };
    assert!(third > second, "a key created again does not repeat a version");
}

fn check_bounds(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/bounds");
    let every_byte: Vec<u8> = (0..MAX_VALUE_BYTES).map(|i| i as u8).collect();
    store.compare_and_swap(&key, Precondition::Absent, put(&every_byte)).unwrap();
    assert!(store.get(&key).unwrap().unwrap().value == every_byte, "a full value returns whole");
    let over = vec![0; MAX_VALUE_BYTES + 1];
    let error = store.compare_and_swap(&key, Precondition::Absent, put(&over)).unwrap_err();
    assert_eq!((error.kind, error.effect), (FailureKind::Refused, Effect::None));
    let error = store.get("").unwrap_err();
    assert_eq!((error.kind, error.effect), (FailureKind::Refused, Effect::None));
}

fn check_list(store: &dyn Store, prefix: &str) {
    let keys = [format!("{prefix}/list/a"), format!("{prefix}/list/b")];
    for key in keys.iter().rev() {
        store.compare_and_swap(key, Precondition::Absent, put(b"v")).unwrap();
    }
    store.compare_and_swap(&format!("{prefix}/lisu"), Precondition::Absent, put(b"v")).unwrap();
    let listed = store.list(&format!("{prefix}/list/")).unwrap();
    let found: Vec<&str> = listed.iter().map(|l| l.key.as_str()).collect();
    assert_eq!(found, [keys[0].as_str(), keys[1].as_str()], "keys of the prefix, in order");
    let version = store.get(&keys[0]).unwrap().unwrap().version;
    assert_eq!(listed[0].version, version, "a list gives the version of the key");
}

fn check_watch(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/watch");
    let short = Duration::from_millis(20);
    assert_eq!(store.watch(&key, 0, short).unwrap(), WatchResult::TimedOut, "absent stays absent");
    let swap = store.compare_and_swap(&key, Precondition::Absent, put(b"a")).unwrap();
    let SwapResult::Applied(version) = swap else { panic!("creation conflicts") };
    let WatchResult::Changed(entry) = store.watch(&key, 0, short).unwrap() else {
        panic!("a watch misses an earlier creation");
    };
    assert_eq!(entry.version, version);
    assert_eq!(store.watch(&key, version, short).unwrap(), WatchResult::TimedOut);
    let delete =
        store.compare_and_swap(&key, Precondition::Version(version), Mutation::Delete).unwrap();
    assert!(matches!(delete, SwapResult::Applied(_)));
    assert_eq!(store.watch(&key, version, short).unwrap(), WatchResult::Deleted);
}

fn check_leases(store: &dyn Store, prefix: &str, pass_time: AdvanceClock<'_>) {
    let key = format!("{prefix}/lease");
    let lease = store.lease_grant(LEASE).unwrap();
    let bound = Mutation::Put { value: b"v", lease: Some(lease) };
    store.compare_and_swap(&key, Precondition::Absent, bound).unwrap();
    assert_eq!(store.get(&key).unwrap().unwrap().lease, Some(lease));
    for _ in 0..3 {
        pass_time(LEASE / 2);
        assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Renewed);
    }
    assert!(store.get(&key).unwrap().is_some(), "a renewed lease keeps its keys");
    pass_time(LEASE + LEASE / 4);
    assert_eq!(store.get(&key).unwrap(), None, "keys lapse with their lease");
    assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Expired);
    let error = store.compare_and_swap(&key, Precondition::Absent, bound).unwrap_err();
    assert_eq!((error.kind, error.effect), (FailureKind::Refused, Effect::None));
    assert_eq!(store.get(&key).unwrap(), None, "a lapsed lease binds no key");

    let lease = store.lease_grant(LEASE).unwrap();
    let bound = Mutation::Put { value: b"v", lease: Some(lease) };
    let swap = store.compare_and_swap(&key, Precondition::Absent, bound).unwrap();
    let SwapResult::Applied(version) = swap else { panic!("creation conflicts") };
    store.compare_and_swap(&key, Precondition::Version(version), put(b"w")).unwrap();
    store.lease_revoke(lease).unwrap();
    let entry = store.get(&key).unwrap().expect("a key written without lease outlives it");
    assert_eq!(entry.lease, None);
    store.lease_revoke(lease).expect("a second revocation does nothing");
}
