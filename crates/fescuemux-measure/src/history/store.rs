//! In-memory store with typed values and compare-and-swap that keeps all earlier values.

use fescuemux_core::base::HashMap;
use fescuemux_core::config::{Config, Head};
use fescuemux_core::dedup::Roster;
use fescuemux_core::eject::Ledger;

/// Key of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Key {
    Roster,
    Head,
    Ledger(usize),
}

/// Value of a record. A head is stored together with its configuration, without chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Value {
    Roster(Roster),
    Head(Box<(Head, Config)>),
    Ledger(Ledger),
}

/// Store operation.
#[derive(Clone, Debug)]
pub(super) enum Op {
    Get(Key),
    /// Writes a value if the record has the expected version; zero expects no record.
    Swap(Key, u64, Value),
}

/// Answer to a store operation.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// Version and value; version zero if there is no record.
    Got(u64, Option<Value>),
    Done,
    Conflict(u64),
    /// The call failed without effect.
    Failed,
    /// The write may have taken effect, or may still take effect.
    Unknown,
}

/// Versioned in-memory store.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    version: u64,
    records: HashMap<Key, Vec<(u64, Value)>>,
}

impl MemoryStore {
    /// Reads the value of a record that `age` later writes have replaced, or its oldest value.
    pub(super) fn get(&self, key: Key, age: usize) -> Answer {
        let values = self.records.get(&key).map_or(&[][..], Vec::as_slice);
        let at = values.len().checked_sub(1).map(|last| last.saturating_sub(age));
        match at.map(|at| values[at].clone()) {
            Some((version, value)) => Answer::Got(version, Some(value)),
            None => Answer::Got(0, None),
        }
    }

    /// Writes a record if its version is `expected_version`, or in any case if `unconditional`.
    pub(super) fn swap(
        &mut self,
        key: Key,
        expected_version: u64,
        value: Value,
        unconditional: bool,
    ) -> Answer {
        let values = self.records.entry(key).or_default();
        let current = values.last().map_or(0, |(version, _)| *version);
        if current != expected_version && !unconditional {
            return Answer::Conflict(current);
        }
        self.version += 1;
        values.push((self.version, value));
        Answer::Done
    }
}
