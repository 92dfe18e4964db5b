//! JSON form of the ejection ledger of one service, stored under `eject/<service>`.

use fescuemux_core::base::{Incarnation, ServerId};
use fescuemux_core::eject;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Version of the stored format that this crate writes.
pub const LEDGER_FORMAT_VERSION: u32 = 1;

/// Maximum number of entries and of fences accepted from the store.
const MAX_ITEMS: usize = 4096;

/// Stored ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Version of the format. Readers refuse unknown versions, because misreading a newer ledger
    /// could violate the floor.
    pub version: u32,
    /// Sequence number of the last change.
    pub sequence: u64,
    /// Ejected servers.
    pub entries: Vec<EntryRecord>,
    /// Fences that reject changes by older guard incarnations of released servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fences: Vec<FenceRecord>,
}

/// Stored entry of an ejected server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Ejected server.
    pub server: ServerId,
    /// Number of slots at the time of ejection.
    pub slots: u32,
    /// Incarnation of the guard that ejected the server.
    pub incarnation: Incarnation,
    /// Sequence number of the ejection.
    pub sequence: u64,
}

/// Stored fence of a released server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// Released server.
    pub server: ServerId,
    /// Oldest guard incarnation that may change the ledger for the server.
    pub incarnation: Incarnation,
    /// Sequence number of the release.
    pub sequence: u64,
}

/// Error in a stored ledger.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The bytes are not the JSON of a ledger.
    #[error("ledger is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The version of the format is not supported.
    #[error("ledger version {0} is not supported, expected {LEDGER_FORMAT_VERSION}")]
    Version(u32),
    /// Two entries name the same server.
    #[error("ledger names server {0} twice")]
    Duplicate(ServerId),
    /// An entry or fence has a sequence number above the sequence number of the last change.
    #[error("ledger has change {item} above its last change {last}")]
    Sequence {
        /// Sequence number of the entry or fence.
        item: u64,
        /// Sequence number of the last change.
        last: u64,
    },
    /// The ledger has too many entries or fences.
    #[error("ledger has {0} items, more than {MAX_ITEMS}")]
    TooLarge(usize),
}

impl LedgerRecord {
    /// Serializes the record as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error only if the serializer fails.
    pub fn to_json(&self) -> Result<Vec<u8>, LedgerError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Parses a record from JSON. [`eject::Ledger::try_from`] checks its content.
    ///
    /// # Errors
    ///
    /// Returns an error if the JSON is malformed or its version is unknown. The version is read
    /// first, because a record of a newer format may not parse as a record of this format.
    pub fn from_json(json: &[u8]) -> Result<LedgerRecord, LedgerError> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let Versioned { version } = serde_json::from_slice(json)?;
        if version != LEDGER_FORMAT_VERSION {
            return Err(LedgerError::Version(version));
        }
        Ok(serde_json::from_slice(json)?)
    }
}

impl From<&eject::Ledger> for LedgerRecord {
    fn from(ledger: &eject::Ledger) -> LedgerRecord {
        LedgerRecord {
            version: LEDGER_FORMAT_VERSION,
            sequence: ledger.sequence(),
            entries: ledger.entries().iter().map(EntryRecord::from).collect(),
            fences: ledger.fences().iter().map(FenceRecord::from).collect(),
        }
    }
}

impl TryFrom<LedgerRecord> for eject::Ledger {
    type Error = LedgerError;

    fn try_from(record: LedgerRecord) -> Result<eject::Ledger, LedgerError> {
        record.check()?;
        let entries = record.entries.into_iter().map(eject::LedgerEntry::from).collect();
        let fences = record.fences.into_iter().map(eject::Fence::from).collect();
        Ok(eject::Ledger::from_parts(record.sequence, entries, fences))
    }
}

impl LedgerRecord {
    fn check(&self) -> Result<(), LedgerError> {
        if self.version != LEDGER_FORMAT_VERSION {
            return Err(LedgerError::Version(self.version));
        }
        let items = self.entries.len().max(self.fences.len());
        if items > MAX_ITEMS {
            return Err(LedgerError::TooLarge(items));
        }
        let last = self.sequence;
        let sequences = self.entries.iter().map(|entry| entry.sequence);
        let mut sequences = sequences.chain(self.fences.iter().map(|fence| fence.sequence));
        if let Some(item) = sequences.find(|item| *item > last) {
            return Err(LedgerError::Sequence { item, last });
        }
        let mut servers: Vec<&ServerId> = self.entries.iter().map(|entry| &entry.server).collect();
        servers.sort_unstable();
        match servers.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(LedgerError::Duplicate(pair[0].clone())),
            None => Ok(()),
        }
    }
}

impl From<&eject::LedgerEntry> for EntryRecord {
    fn from(entry: &eject::LedgerEntry) -> EntryRecord {
        EntryRecord {
            server: entry.server.clone(),
            slots: entry.slots,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        }
    }
}

impl From<EntryRecord> for eject::LedgerEntry {
    fn from(record: EntryRecord) -> eject::LedgerEntry {
        eject::LedgerEntry {
            server: record.server,
            slots: record.slots,
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}

impl From<&eject::Fence> for FenceRecord {
    fn from(fence: &eject::Fence) -> FenceRecord {
        FenceRecord {
            server: fence.server.clone(),
            incarnation: fence.incarnation,
            sequence: fence.sequence,
        }
    }
}

impl From<FenceRecord> for eject::Fence {
    fn from(record: FenceRecord) -> eject::Fence {
        eject::Fence {
            server: record.server,
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}
