//! Wire types of membership messages.

use super::record::{checked_len, checked_name};
use super::{InstanceRecord, MAX_SUMMARIES, MAX_UPDATES, MemberError, RecordSummary};
use fescuemux_core::member;
use fescuemux_core::member::DIGEST_BUCKETS;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    generation: u64,
    head: [u8; 16],
    /// Digest of the sender's records. Has a fixed width, because the varint encoding of uniformly
    /// distributed digests would be longer.
    digest: [u8; 8],
    updates: Vec<Update>,
    body: Body,
}

/// Update about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Full record, and the seconds for which the instance has been dead; zero in any other state.
    Full(InstanceRecord, u32),
    /// Precedence and state, for receivers that have the record content.
    #[serde(rename = "Standing")]
    Summary(RecordSummary),
}

/// Purpose of a message. The fields of each variant are those of the same variant of
/// [`member::Body`], in the same order. New variants must be appended, because the encoding is the
/// variant index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an ack.
    Ping(u64),
    /// Response to a ping.
    Ack(u64),
    /// Requests an indirect probe from a helper.
    PingRequest(u64, SmolStr),
    /// Response to an indirect probe request.
    IndirectAck(u64, bool),
    /// Starts a sync.
    SyncRequest(Vec<[u8; 8]>),
    /// Response to a sync request.
    SyncResponse([u8; 8], Vec<RecordSummary>, bool),
    /// Carries updates and requests full records.
    Push(Vec<SmolStr>, bool),
    /// Announces a new configuration generation.
    Notify,
}

impl From<member::Update> for Update {
    fn from(update: member::Update) -> Update {
        match update {
            member::Update::Full { record, dead_for_secs } => {
                Update::Full(record.into(), dead_for_secs)
            }
            member::Update::Summary(summary) => Update::Summary(summary.into()),
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
            Update::Summary(summary) => member::Update::Summary(summary.try_into()?),
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
            member::Body::SyncResponse { covered_buckets, summaries, more } => Body::SyncResponse(
                covered_buckets.to_le_bytes(),
                summaries.into_iter().map(RecordSummary::from).collect(),
                more,
            ),
            member::Body::Push { requested, truncated } => Body::Push(requested, truncated),
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
            Body::SyncRequest(buckets) => {
                member::Body::SyncRequest { buckets: decode_buckets(&buckets)? }
            }
            Body::SyncResponse(covered_buckets, summaries, more) => {
                checked_len(summaries.len(), MAX_SUMMARIES)?;
                let summaries: Result<Vec<_>, _> =
                    summaries.into_iter().map(TryInto::try_into).collect();
                let covered_buckets = u64::from_le_bytes(covered_buckets);
                member::Body::SyncResponse { covered_buckets, summaries: summaries?, more }
            }
            Body::Push(requested, truncated) => {
                checked_len(requested.len(), MAX_SUMMARIES)?;
                let requested: Result<Vec<_>, _> =
                    requested.into_iter().map(checked_name).collect();
                member::Body::Push { requested: requested?, truncated }
            }
            Body::Notify => member::Body::Notify,
        })
    }
}

impl From<member::Message> for Message {
    fn from(message: member::Message) -> Message {
        Message {
            generation: message.config.generation,
            head: message.config.head_digest,
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
            config: member::ConfigVersion {
                generation: message.generation,
                head_digest: message.head,
            },
            digest: u64::from_le_bytes(message.digest),
            updates: updates?,
            body: message.body.try_into()?,
        })
    }
}

/// Returns an error unless there is exactly one digest per bucket.
fn decode_buckets(encoded: &[[u8; 8]]) -> Result<Box<[u64; DIGEST_BUCKETS]>, MemberError> {
    let buckets: &[[u8; 8]; DIGEST_BUCKETS] =
        encoded.try_into().map_err(|_| MemberError::InvalidEntryCount(encoded.len()))?;
    Ok(Box::new(buckets.map(u64::from_le_bytes)))
}
