//! JSON form of the roster of homes, stored under [`ROSTER_KEY`].

use fescuemux_core::base::InstanceId;
use fescuemux_core::dedup::{MAX_HOMES, Roster};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Store key of the roster.
pub const ROSTER_KEY: &str = "roster";

/// Roster as stored, and as sent between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Epoch, at least 1.
    pub epoch: u64,
    /// Members in the order of joining.
    pub instances: Vec<InstanceId>,
}

/// Error in a roster record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RosterError {
    /// The epoch is zero.
    #[error("the epoch of a roster starts at 1")]
    ZeroEpoch,
    /// The roster is empty, has too many members, or contains a member twice.
    #[error("a roster has 1 to {MAX_HOMES} different members")]
    InvalidMembers,
}

impl From<&Roster> for RosterRecord {
    fn from(roster: &Roster) -> RosterRecord {
        RosterRecord { epoch: roster.epoch, instances: roster.instances.clone() }
    }
}

impl TryFrom<RosterRecord> for Roster {
    type Error = RosterError;

    fn try_from(record: RosterRecord) -> Result<Roster, RosterError> {
        if record.epoch == 0 {
            return Err(RosterError::ZeroEpoch);
        }
        let mut names: Vec<&InstanceId> = record.instances.iter().collect();
        names.sort_unstable();
        names.dedup();
        let all_distinct = names.len() == record.instances.len();
        if !all_distinct || !(1..=MAX_HOMES).contains(&names.len()) {
            return Err(RosterError::InvalidMembers);
        }
        Ok(Roster { epoch: record.epoch, instances: record.instances })
    }
}
