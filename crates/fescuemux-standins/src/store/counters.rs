//! Counters of a stand-in store.

/// Calls and bytes that a stand-in store has seen, failed ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Calls of `get`, `list` and `watch`.
    pub reads: u64,
    /// Calls of `compare_and_swap` and of the lease functions.
    pub writes: u64,
    /// Bytes of values returned.
    pub bytes_read: u64,
    /// Bytes of values received.
    pub bytes_written: u64,
}
