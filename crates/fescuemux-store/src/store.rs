//! The interface of the key-value store.

use crate::StoreError;
use std::sync::Arc;
use std::time::Duration;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Version of a key. Each write takes the next version of a counter that the whole store
/// shares, so a key that is deleted and created again never repeats a version. Zero stands for
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

/// A key found by a prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyVersion {
    /// Whole key.
    pub key: String,
    /// Version of the last write to the key.
    pub version: Version,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The key exists with this version.
    Version(Version),
}

/// The write of a compare-and-swap.
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

/// Result of a compare-and-swap that the store decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect with this version.
    Applied(Version),
    /// The condition did not hold; nothing changed. Holds the key's version, if it exists.
    Conflict(Option<Version>),
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The key has a version above the one given.
    Changed(Entry),
    /// The key does not exist although the version given says that it did.
    Deleted,
    /// Nothing changed before the timeout.
    TimedOut,
}

/// Result of a lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewResult {
    /// The lease runs for its full time again.
    Renewed,
    /// The lease has lapsed or was revoked; its keys are gone.
    Expired,
}

/// Key-value store with compare-and-swap, leases and watches. All calls block.
pub trait Store: Send + Sync {
    /// Returns the value of `key`. A replica may answer with an older value.
    ///
    /// # Errors
    /// Fails when the store gives no valid answer.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Applies `change` to `key` if `expect` holds. The decision is never made on old data.
    ///
    /// # Errors
    /// The effect of the error states whether the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        expect: Precondition,
        change: Mutation<'_>,
    ) -> Result<SwapResult, StoreError>;

    /// Returns the keys that start with `prefix`, in order.
    ///
    /// # Errors
    /// Fails when the store gives no valid answer.
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError>;

    /// Waits until `key` has a version above `after`, at most for `timeout`. With `after` zero
    /// it returns as soon as the key exists. Counts as one call.
    ///
    /// # Errors
    /// Fails when the store gives no valid answer.
    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError>;

    /// Creates a lease that lapses `ttl` after its last renewal. Its keys lapse with it.
    ///
    /// # Errors
    /// With an unknown effect, a lease without holder may remain until it lapses.
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Starts the time of the lease again.
    ///
    /// # Errors
    /// With an unknown effect, the lease may have been renewed.
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError>;

    /// Ends the lease and deletes its keys. Does nothing for a lease that does not exist.
    ///
    /// # Errors
    /// With an unknown effect, the lease may have been revoked.
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}

macro_rules! forward {
    ($target:ty) => {
        impl<S: Store + ?Sized> Store for $target {
            fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
                (**self).get(key)
            }
            fn compare_and_swap(
                &self,
                key: &str,
                expect: Precondition,
                change: Mutation<'_>,
            ) -> Result<SwapResult, StoreError> {
                (**self).compare_and_swap(key, expect, change)
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

forward!(&S);
forward!(Arc<S>);
forward!(Box<S>);
