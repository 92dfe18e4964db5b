//! Interface of the key-value store.

use crate::StoreError;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Version of a key. Each write takes the next value of a counter that is shared by the whole
/// store, so a key that is deleted and created again never reuses a version. Zero stands for
/// "absent" and is never assigned.
pub type Version = u64;
/// Id of a lease.
pub type LeaseId = u64;

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Version of the last write to the key.
    pub version: Version,
    /// Content, at most [`MAX_VALUE_BYTES`].
    pub value: Vec<u8>,
    /// Lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// A key with its version, as [`Store::list`] returns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyVersion {
    /// The whole key, including the prefix.
    pub key: String,
    /// Version of the last write to the key.
    pub version: Version,
}

/// Condition under which a write is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The key exists with this version.
    Version(Version),
}

/// Write of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation<'a> {
    /// Sets the value and the lease.
    Put {
        /// New content, at most [`MAX_VALUE_BYTES`].
        value: &'a [u8],
        /// Lease that the key is bound to from now on; `None` unbinds it.
        lease: Option<LeaseId>,
    },
    /// Removes the key.
    Delete,
}

/// Result of a compare-and-swap that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect and has this version.
    Applied(Version),
    /// The precondition did not hold and nothing changed. Holds the version of the key, if it
    /// exists.
    Conflict(Option<Version>),
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The key has a version above the given one.
    Changed(Entry),
    /// The key does not exist, although it existed with the given version.
    Deleted,
    /// Nothing changed before the timeout.
    TimedOut,
}

/// Result of a lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewResult {
    /// The lease is valid for its full time to live again.
    Renewed,
    /// The lease expired or was revoked, and its keys are deleted.
    Expired,
}

/// Key-value store with compare-and-swap, leases and watches. All calls block.
pub trait Store: Send + Sync {
    /// Returns the value of `key`. A lagging replica may return an older value.
    ///
    /// # Errors
    /// Fails without a valid response from the store.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Applies `mutation` to `key` if `precondition` holds. The precondition is never checked
    /// against stale data.
    ///
    /// # Errors
    /// The effect of the error states whether the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError>;

    /// Returns the keys that start with `prefix`, sorted.
    ///
    /// # Errors
    /// Fails without a valid response from the store.
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError>;

    /// Waits at most `timeout` until `key` has a version above `after` or is deleted. With a zero
    /// `after`, it waits until the key exists. Counts as one call however long it waits.
    ///
    /// # Errors
    /// Fails without a valid response from the store.
    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError>;

    /// Creates a lease that expires `ttl` after its last renewal. Its keys expire with it.
    ///
    /// # Errors
    /// If the effect of the error is unknown, a lease that nobody knows may exist until it expires.
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews the lease for its full time to live.
    ///
    /// # Errors
    /// If the effect of the error is unknown, the lease may have been renewed.
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError>;

    /// Ends the lease and deletes its keys. Does nothing for a lease that does not exist.
    ///
    /// # Errors
    /// If the effect of the error is unknown, the lease may have been revoked.
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}

macro_rules! delegate_store {
    ($target:ty) => {
        impl<S: Store + ?Sized> Store for $target {
            fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
                (**self).get(key)
            }
            fn compare_and_swap(
                &self,
                key: &str,
                precondition: Precondition,
                mutation: Mutation<'_>,
            ) -> Result<SwapResult, StoreError> {
                (**self).compare_and_swap(key, precondition, mutation)
            }
            fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
                (**self).list(prefix)
            }
            fn watch(
                &self,
                key: &str,
                after: Version,
                timeout: Duration,
            ) -> Result<WatchResult, StoreError> {
                (**self).watch(key, after, timeout)
            }
            fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
                (**self).lease_grant(ttl)
            }
            fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
                (**self).lease_renew(lease)
            }
            fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
                (**self).lease_revoke(lease)
            }
        }
    };
}

delegate_store!(&S);
delegate_store!(Arc<S>);
delegate_store!(Box<S>);
