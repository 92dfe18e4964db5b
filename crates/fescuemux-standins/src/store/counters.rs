//! Call counters of a stand-in store.

/// Numbers of calls and bytes of a stand-in store. The numbers of calls include failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Calls of `get`, `list` and `watch`.
    pub reads: u64,
    /// Calls of `compare_and_swap` and of the lease functions.
    pub writes: u64,
    /// Bytes of values in successful reads.
    pub bytes_read: u64,
    /// Bytes of values in all writes, including failed ones.
    pub bytes_written: u64,
}
