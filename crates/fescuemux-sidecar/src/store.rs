//! The store that keeps what must outlast the processes.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

/// Position in the store's sequence of changes.
pub type Revision = u64;
/// Id of a lease.
pub type LeaseId = u64;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Content.
    pub value: Bytes,
    /// Last change.
    pub revision: Revision,
}

/// All items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Items in the order of their keys.
    pub entries: Vec<Entry>,
    /// Revision from which a watch continues without a gap.
    pub revision: Revision,
}

/// One change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item was written.
    Put(Entry),
    /// The item with this key was removed.
    Removed(String),
}

/// Changes since the revision that a watch began from.
#[derive(Clone, Debug, Default)]
pub struct WatchResponse {
    /// Changes in their order; empty when the wait ended without one.
    pub changes: Vec<Change>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// A lease of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: LeaseId,
    /// Time after which it ends without a renewal.
    pub ttl: Duration,
}

/// Why a call has no result.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The changes asked for are no longer kept; read the whole prefix again.
    #[error("history is no longer available")]
    RevisionCompacted,
    /// The lease has ended, and its items are gone.
    #[error("the lease has ended")]
    LeaseExpired,
    /// The store refused the call; nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No valid answer came; a write may have been done or may yet be.
    #[error("no answer: {0}")]
    NoResponse(String),
}

/// Key-value store with leases and watches of prefixes.
///
/// The blocking `Store` of fescuemux-store needs a thread for each waiting call and watches
/// single keys; this interface serves many watches on one thread.
pub trait MetadataStore {
    /// Reads one item with all acknowledged changes.
    ///
    /// # Errors
    /// Fails when no valid answer comes.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<(Option<Entry>, Revision), StoreError>>;

    /// Reads all items under `prefix`.
    ///
    /// # Errors
    /// Fails when no valid answer comes.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits for changes under `prefix` later than `after`, at most for `wait`.
    ///
    /// # Errors
    /// Fails when no valid answer comes, and with [`StoreError::RevisionCompacted`].
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, StoreError>>;

    /// Writes an item that is removed with the lease, whatever it held before.
    ///
    /// # Errors
    /// Fails when the write is not acknowledged, and with [`StoreError::LeaseExpired`].
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Creates a lease.
    ///
    /// # Errors
    /// Fails when no valid answer comes; a lease that nobody holds may remain until it ends.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    /// Fails when no valid answer comes, and with [`StoreError::LeaseExpired`].
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Ends a lease and removes its items.
    ///
    /// # Errors
    /// Fails when no valid answer comes.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
