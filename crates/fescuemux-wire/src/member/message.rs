//! Messages on the wire.

use super::record::{checked_len, checked_name};
use super::{Instance, MAX_STANDINGS, MAX_UPDATES, MemberError, Standing};
use fescuemux_core::member;
use fescuemux_core::member::BUCKETS;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    generation: u64,
    head: [u8; 16],
    /// Fixed width: digests are evenly spread, so a variable-length number would be longer.
    digest: [u8; 8],
    updates: Vec<Update>,
    body: Body,
}

/// A statement about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A whole record, and the seconds for which the sender held it for dead.
    Full(Instance, u32),
    /// A change of state.
    Standing(Standing),
}

/// Purpose of a message. Variants are only ever appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an ack.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Asks a helper to probe a member.
    PingRequest(u64, SmolStr),
    /// Answers a request to a helper.
    IndirectAck(u64, bool),
    /// Starts a repair.
    SyncRequest(Vec<[u8; 8]>),
    /// Answers a repair.
    SyncResponse([u8; 8], Vec<Standing>, bool),
    /// Carries updates and asks for whole records.
    Push(Vec<SmolStr>, bool),
    /// Tells of a new generation.
    Notify,
}

impl From<member::Update> for Update {
    fn from(update: member::Update) -> Update {
        match update {
            member::Update::Full { record, dead_for_secs } => {
                Update::Full(record.into(), dead_for_secs)
            }
            member::Update::Standing(standing) => Update::Standing(standing.into()),
        }
    }
}

impl TryFrom<Update> for member::Update {
    type Error = MemberError;

    fn try_from(update: Update) -> Result<member::Update, MemberError> {
        Ok(match update {
            Update::Full(record, dead_for_secs) => {
                member::Update::Full { record: record.try_into()?, dead_for_secs }
            }
            Update::Standing(standing) => member::Update::Standing(standing.try_into()?),
        })
    }
}

impl From<member::Body> for Body {
    fn from(body: member::Body) -> Body {
        match body {
            member::Body::Ping { seq } => Body::Ping(seq),
            member::Body::Ack { seq } => Body::Ack(seq),
            member::Body::PingRequest { seq, target } => Body::PingRequest(seq, target),
            member::Body::IndirectAck { seq, reached } => Body::IndirectAck(seq, reached),
            member::Body::SyncRequest { buckets } => {
                Body::SyncRequest(buckets.iter().map(|b| b.to_le_bytes()).collect())
            }
            member::Body::SyncResponse { covered, standings, more } => Body::SyncResponse(
                covered.to_le_bytes(),
                standings.into_iter().map(Standing::from).collect(),
                more,
            ),
            member::Body::Push { want, truncated } => Body::Push(want, truncated),
            member::Body::Notify => Body::Notify,
        }
    }
}

impl TryFrom<Body> for member::Body {
    type Error = MemberError;

    fn try_from(body: Body) -> Result<member::Body, MemberError> {
        Ok(match body {
            Body::Ping(seq) => member::Body::Ping { seq },
            Body::Ack(seq) => member::Body::Ack { seq },
            Body::PingRequest(seq, target) => {
                member::Body::PingRequest { seq, target: checked_name(target)? }
            }
            Body::IndirectAck(seq, reached) => member::Body::IndirectAck { seq, reached },
            Body::SyncRequest(list) => member::Body::SyncRequest { buckets: buckets(&list)? },
            Body::SyncResponse(covered, standings, more) => {
                checked_len(standings.len(), MAX_STANDINGS)?;
                let standings: Result<Vec<_>, _> =
                    standings.into_iter().map(TryInto::try_into).collect();
                let covered = u64::from_le_bytes(covered);
                member::Body::SyncResponse { covered, standings: standings?, more }
            }
            Body::Push(want, truncated) => {
                checked_len(want.len(), MAX_STANDINGS)?;
                let want: Result<Vec<_>, _> = want.into_iter().map(checked_name).collect();
                member::Body::Push { want: want?, truncated }
            }
            Body::Notify => member::Body::Notify,
        })
    }
}

impl From<member::Message> for Message {
    fn from(message: member::Message) -> Message {
        Message {
            generation: message.config.generation,
            head: message.config.head,
            digest: message.digest.to_le_bytes(),
            updates: message.updates.into_iter().map(Update::from).collect(),
            body: message.body.into(),
        }
    }
}

impl TryFrom<Message> for member::Message {
    type Error = MemberError;

    fn try_from(message: Message) -> Result<member::Message, MemberError> {
        checked_len(message.updates.len(), MAX_UPDATES)?;
        let updates: Result<Vec<_>, _> =
            message.updates.into_iter().map(TryInto::try_into).collect();
        Ok(member::Message {
            config: member::ConfigStamp { generation: message.generation, head: message.head },
            digest: u64::from_le_bytes(message.digest),
            updates: updates?,
            body: message.body.try_into()?,
        })
    }
}

fn buckets(list: &[[u8; 8]]) -> Result<Box<[u64; BUCKETS]>, MemberError> {
    let list: &[[u8; 8]; BUCKETS] =
        list.try_into().map_err(|_| MemberError::TooMany(list.len()))?;
    Ok(Box::new(list.map(u64::from_le_bytes)))
}
