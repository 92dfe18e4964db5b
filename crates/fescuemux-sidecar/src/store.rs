//! Interface of the metadata store, which holds the configuration and the list of instances.

use bytes::Bytes;
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// Position in the sequence of all changes to the store.
pub type Revision = u64;
/// Id of a lease.
pub type LeaseId = u64;

/// Key-value pair. `Debug` does not show the value, which may contain the keys of customers.
#[derive(Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("key", &self.key)
            .field("value_bytes", &self.value.len())
            .field("revision", &self.revision)
            .finish()
    }
}

/// One change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry was written.
    Put(Entry),
    /// The entry with this key was removed.
    Removed(String),
}

/// Changes since the start revision of a watch.
#[derive(Clone, Debug, Default)]
pub struct WatchResponse {
    /// Changes in order; empty if there was no change within the wait of the watch.
    pub changes: Vec<Change>,
    /// Revision from which to start the next watch.
    pub revision: Revision,
}

/// Lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: LeaseId,
    /// Time after which the lease expires unless it is renewed.
    pub ttl: Duration,
}

/// Error of a store call.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store no longer holds the requested changes; the whole prefix must be read again.
    #[error("history is no longer available")]
    RevisionCompacted,
    /// The lease has expired or was revoked, and its entries are gone.
    #[error("the lease has ended")]
    LeaseExpired,
    /// The store refused the call and changed nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No valid response arrived; a write may have been applied or may still be applied.
    #[error("no response: {0}")]
    NoResponse(String),
}

/// Key-value store with leases and watches of prefixes.
///
/// Unlike the blocking `Store` of fescuemux-store, which needs a thread for each pending call and
/// watches single keys, this interface supports many watches on one thread.
pub trait MetadataStore {
    /// Returns the entry of a key, which reflects all acknowledged changes, and the store's
    /// revision.
    ///
    /// # Errors
    /// Fails without a valid response.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<(Option<Entry>, Revision), StoreError>>;

    /// Returns the entries under `prefix` in the order of their keys, from a state that may be some
    /// seconds old. Entries that cannot be decoded are left out, as another writer may have left them.
    ///
    /// # Errors
    /// Fails without a valid response.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, StoreError>>;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    ///
    /// # Errors
    /// Fails without a valid response, or with [`StoreError::RevisionCompacted`] if changes after
    /// `after` were compacted.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, StoreError>>;

    /// Writes an entry, replacing any previous value. The store removes the entry when the lease
    /// ends.
    ///
    /// # Errors
    /// Fails if the write is not acknowledged, or with [`StoreError::LeaseExpired`] if the lease
    /// does not exist any more.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Creates a lease.
    ///
    /// # Errors
    /// Fails without a valid response; the store may still have created a lease, which remains
    /// until it expires.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    /// Fails without a valid response, or with [`StoreError::LeaseExpired`] if the lease does not
    /// exist any more.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Revokes a lease and removes its entries.
    ///
    /// # Errors
    /// Fails without a valid response.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
