//! Hook that observes store calls.

use std::sync::Arc;

/// Kind of a store call. The capacity of the store is stated per kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// `get`, `list` and `watch`. A watch counts as one call however long it waits.
    Read,
    /// `compare_and_swap` and the lease calls.
    Write,
}

/// Function called before each request is sent, once per address tried.
pub type CallHook = Arc<dyn Fn(CallKind) + Send + Sync>;
