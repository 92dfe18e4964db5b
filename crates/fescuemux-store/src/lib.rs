//! Key-value store of the fleet: the [`Store`] interface, its HTTP client, and the driver that
//! keeps the configuration in the store.
//!
//! All calls block, so they belong on a thread of their own. The crate must not depend on the
//! daemon.

mod calls;
pub mod config_store;
pub mod contract;
mod error;
mod http;
pub mod protocol;
mod store;

pub use calls::{CallHook, CallKind};
pub use error::{Effect, FailureKind, StoreError};
pub use http::{HttpStore, HttpStoreSettings};
pub use store::{
    Entry, KeyVersion, LeaseId, MAX_KEY_BYTES, MAX_VALUE_BYTES, Mutation, Precondition,
    RenewResult, Store, SwapResult, Version, WatchResult,
};
