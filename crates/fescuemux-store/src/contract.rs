//! Contract of the [`Store`] interface. Tests call [`check`] with their implementation.

use crate::{
    Effect, FailureKind, MAX_VALUE_BYTES, Mutation, Precondition, RenewResult, Store, SwapResult,
    WatchResult,
};
use std::time::Duration;

/// Advances the time of the store under test: sleeps, or moves a virtual clock.
pub type AdvanceClock<'a> = &'a dyn Fn(Duration);

/// Time to live of the leases in the checks; many times as long as a call over loopback.
const LEASE_TTL: Duration = Duration::from_millis(400);

/// Checks every guarantee of the interface, on keys that start with `prefix`.
///
/// # Panics
/// Panics at the first guarantee that the store breaks.
pub fn check(store: &dyn Store, prefix: &str, advance: AdvanceClock<'_>) {
    check_swaps(store, prefix);
    check_bounds(store, prefix);
    check_list(store, prefix);
    check_watch(store, prefix);
    check_leases(store, prefix, advance);
}

fn put(value: &[u8]) -> Mutation<'_> {
    Mutation::Put { value, lease: None }
}

fn check_swaps(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/swap");
    assert_eq!(store.get(&key).unwrap(), None, "a fresh key is absent");
    let swap_of_absent = store.compare_and_swap(&key, Precondition::Version(1), put(b"x")).unwrap();
    assert_eq!(swap_of_absent, SwapResult::Conflict(None), "an absent key has no version");
    let SwapResult::Applied(first) =
        store.compare_and_swap(&key, Precondition::Absent, put(b"a")).unwrap()
    else {
        panic!("creation of an absent key conflicted");
    };
    let second_creation = store.compare_and_swap(&key, Precondition::Absent, put(b"b")).unwrap();
    assert_eq!(second_creation, SwapResult::Conflict(Some(first)), "a second creation conflicts");
    let entry = store.get(&key).unwrap().unwrap();
    assert_eq!((entry.version, entry.value.as_slice()), (first, &b"a"[..]));
    let swap = store.compare_and_swap(&key, Precondition::Version(first), put(b"b")).unwrap();
    let SwapResult::Applied(second) = swap else {
        panic!("swap with the current version conflicted")
    };
    assert!(second > first, "versions increase");
    let stale_delete =
        store.compare_and_swap(&key, Precondition::Version(first), Mutation::Delete).unwrap();
    assert_eq!(
        stale_delete,
        SwapResult::Conflict(Some(second)),
        "a delete with an old version conflicts"
    );
    let delete =
        store.compare_and_swap(&key, Precondition::Version(second), Mutation::Delete).unwrap();
    assert!(matches!(delete, SwapResult::Applied(_)));
    assert_eq!(store.get(&key).unwrap(), None, "a deleted key is absent");
    let SwapResult::Applied(third) =
        store.compare_and_swap(&key, Precondition::Absent, put(b"c")).unwrap()
    else {
        panic!("creation after a delete conflicted");
    };
    assert!(third > second, "a key that is created again gets a higher version");
}

fn check_bounds(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/bounds");
    let max_value: Vec<u8> = (0..MAX_VALUE_BYTES).map(|i| i as u8).collect();
    store.compare_and_swap(&key, Precondition::Absent, put(&max_value)).unwrap();
    assert!(
        store.get(&key).unwrap().unwrap().value == max_value,
        "a value of the largest size is returned whole"
    );
    let too_large = vec![0; MAX_VALUE_BYTES + 1];
    let error = store.compare_and_swap(&key, Precondition::Absent, put(&too_large)).unwrap_err();
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
    let listed_keys: Vec<&str> = listed.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(listed_keys, [keys[0].as_str(), keys[1].as_str()], "the keys of the prefix, sorted");
    let version = store.get(&keys[0]).unwrap().unwrap().version;
    assert_eq!(listed[0].version, version, "a list returns the version of each key");
}

fn check_watch(store: &dyn Store, prefix: &str) {
    let key = format!("{prefix}/watch");
    let timeout = Duration::from_millis(20);
    assert_eq!(
        store.watch(&key, 0, timeout).unwrap(),
        WatchResult::TimedOut,
        "a watch on an absent key times out"
    );
    let swap = store.compare_and_swap(&key, Precondition::Absent, put(b"a")).unwrap();
    let SwapResult::Applied(version) = swap else { panic!("creation of an absent key conflicted") };
    let WatchResult::Changed(entry) = store.watch(&key, 0, timeout).unwrap() else {
        panic!("a watch missed an earlier creation");
    };
    assert_eq!(entry.version, version);
    assert_eq!(store.watch(&key, version, timeout).unwrap(), WatchResult::TimedOut);
    let delete =
        store.compare_and_swap(&key, Precondition::Version(version), Mutation::Delete).unwrap();
    assert!(matches!(delete, SwapResult::Applied(_)));
    assert_eq!(store.watch(&key, version, timeout).unwrap(), WatchResult::Deleted);
}

fn check_leases(store: &dyn Store, prefix: &str, advance: AdvanceClock<'_>) {
    let key = format!("{prefix}/lease");
    let lease = store.lease_grant(LEASE_TTL).unwrap();
    let put_with_lease = Mutation::Put { value: b"v", lease: Some(lease) };
    store.compare_and_swap(&key, Precondition::Absent, put_with_lease).unwrap();
    assert_eq!(store.get(&key).unwrap().unwrap().lease, Some(lease));
    for _ in 0..3 {
        advance(LEASE_TTL / 2);
        assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Renewed);
    }
    assert!(store.get(&key).unwrap().is_some(), "a renewed lease keeps its keys");
    advance(LEASE_TTL + LEASE_TTL / 4);
    assert_eq!(store.get(&key).unwrap(), None, "keys expire with their lease");
    assert_eq!(store.lease_renew(lease).unwrap(), RenewResult::Expired);
    let error = store.compare_and_swap(&key, Precondition::Absent, put_with_lease).unwrap_err();
    assert_eq!((error.kind, error.effect), (FailureKind::Refused, Effect::None));
    assert_eq!(store.get(&key).unwrap(), None, "an expired lease binds no key");

    let lease = store.lease_grant(LEASE_TTL).unwrap();
    let put_with_lease = Mutation::Put { value: b"v", lease: Some(lease) };
    let swap = store.compare_and_swap(&key, Precondition::Absent, put_with_lease).unwrap();
    let SwapResult::Applied(version) = swap else { panic!("creation of an absent key conflicted") };
    store.compare_and_swap(&key, Precondition::Version(version), put(b"w")).unwrap();
    store.lease_revoke(lease).unwrap();
    let entry = store.get(&key).unwrap().expect("a key unbound from its lease outlives it");
    assert_eq!(entry.lease, None);
    store.lease_revoke(lease).expect("a second revocation does nothing");
}
