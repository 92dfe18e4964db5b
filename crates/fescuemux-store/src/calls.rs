//! Counting of store calls.

use std::sync::Arc;

/// Kind of a store call, as the store's capacity is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// `get`, `list` and `watch`. A waiting watch is one call.
    Read,
    /// `compare_and_swap` and all lease calls.
    Write,
}

/// Function that is told of each call before it is sent, once per address tried.
pub type CallHook = Arc<dyn Fn(CallKind) + Send + Sync>;
