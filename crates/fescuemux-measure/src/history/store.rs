//! A store of typed values with compare-and-swap, kept in memory with all earlier values.

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

/// Content of a record. The chunks of a configuration stand beside its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Value {
    Roster(Roster),
    Head(Box<(Head, Config)>),
    Ledger(Ledger),
}

/// Call of an instance.
#[derive(Clone, Debug)]
pub(super) enum Op {
    Get(Key),
    /// Writes if the version is the one expected; zero expects no record.
    Swap(Key, u64, Value),
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// Version and value; version zero without one.
    Got(u64, Option<Value>),
    Done,
    Conflict(u64),
    /// The call failed without effect.
    Failed,
    /// A write may have taken effect or may yet take effect.
    Unknown,
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    version: u64,
    records: HashMap<Key, Vec<(u64, Value)>>,
}

impl MemoryStore {
    /// Reads a record, `age` values back.
    pub(super) fn get(&self, key: Key, age: usize) -> Answer {
        let values = self.records.get(&key).map_or(&[][..], Vec::as_slice);
        let at = values.len().checked_sub(1).map(|last| last.saturating_sub(age));
        match at.map(|at| values[at].clone()) {
            Some((version, value)) => Answer::Got(version, Some(value)),
            None => Answer::Got(0, None),
        }
    }

    /// Writes a record; `blind` leaves out the comparison.
    pub(super) fn swap(
        &mut self,
        key: Key,
        expected_version: u64,
        value: Value,
        blind: bool,
    ) -> Answer {
        let values = self.records.entry(key).or_default();
        let present = values.last().map_or(0, |(version, _)| *version);
        if present != expected_version && !blind {
            return Answer::Conflict(present);
        }
        self.version += 1;
        values.push((self.version, value));
        Answer::Done
    }
}
