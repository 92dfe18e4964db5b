//! In-memory store with typed values and compare-and-swap that keeps all earlier values.

use fescuemux_core::base::HashMap;
use fescuemux_core::config::{Config, Head};
use fescuemux_core::dedup::Roster;
use fescuemux_core::eject::Ledger;

/// Key of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RecordKey {
    Roster,
    Head,
    Ledger(usize),
}

/// Value of a record. A head is stored together with its configuration, without chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RecordValue {
    Roster(Roster),
    Head(Box<(Head, Config)>),
    Ledger(Ledger),
}

/// Store operation.
#[derive(Clone, Debug)]
pub(super) enum StoreOp {
    Get(RecordKey),
    /// Writes a value if the record has the expected version; zero expects no record.
    Swap(RecordKey, u64, RecordValue),
}

/// Answer to a store operation.
#[derive(Clone, Debug)]
pub(super) enum StoreAnswer {
    /// Result of a read: version and value; version zero if there is no record.
    Got(u64, Option<RecordValue>),
    /// The write took effect.
    Done,
    /// The write had no effect, because the record has this version.
    Conflict(u64),
    /// A read failed.
    Failed,
    /// The write may have taken effect, or may still take effect.
    Unknown,
}

/// Versioned in-memory store.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    version: u64,
    records: HashMap<RecordKey, Vec<(u64, RecordValue)>>,
}

impl MemoryStore {
    /// Reads the value that a record had before its last `age` writes, or its oldest value if there
    /// were fewer writes.
    pub(super) fn get(&self, key: RecordKey, age: usize) -> StoreAnswer {
        let values = self.records.get(&key).map_or(&[][..], Vec::as_slice);
        let at = values.len().checked_sub(1).map(|last| last.saturating_sub(age));
        match at.map(|at| values[at].clone()) {
            Some((version, value)) => StoreAnswer::Got(version, Some(value)),
            None => StoreAnswer::Got(0, None),
        }
    }

    /// Writes a record if its version is `expected_version`, or in any case if `unconditional`.
    pub(super) fn swap(
        &mut self,
        key: RecordKey,
        expected_version: u64,
        value: RecordValue,
        unconditional: bool,
    ) -> StoreAnswer {
        let values = self.records.entry(key).or_default();
        let current = values.last().map_or(0, |(version, _)| *version);
        if current != expected_version && !unconditional {
            return StoreAnswer::Conflict(current);
        }
        self.version += 1;
        values.push((self.version, value));
        StoreAnswer::Done
    }
}
