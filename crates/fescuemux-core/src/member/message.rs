//! Messages between members.

use super::digest::DIGEST_BUCKETS;
use super::record::{InstanceRecord, RecordPrecedence, RecordSummary};
use crate::base::{Generation, InstanceId};

/// Generation in force at a member and the digest of its head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigVersion {
    /// Generation in force; zero before the first one.
    pub generation: Generation,
    /// Digest of the configuration's head; zero while it is not known.
    pub head_digest: [u8; 16],
}

/// A statement about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A whole record.
    Full {
        /// The record.
        record: InstanceRecord,
        /// Seconds since the sender took the instance for dead; zero in any other state.
        dead_for_secs: u32,
    },
    /// A change of state, for receivers that have the content.
    Summary(RecordSummary),
}

impl Update {
    /// Returns the instance that the statement is about.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Update::Full { record, .. } => &record.instance,
            Update::Summary(summary) => &summary.instance,
        }
    }

    /// Returns the position of the record that the statement claims.
    pub fn precedence(&self) -> RecordPrecedence {
        match self {
            Update::Full { record, .. } => record.precedence(),
            Update::Summary(summary) => summary.precedence,
        }
    }
}

/// One message between members. Every message carries the generation and the digest of the
/// sender's records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Configuration in force at the sender.
    pub config: ConfigVersion,
    /// Digest of the sender's records.
    pub digest: u64,
    /// Updates that ride on the message.
    pub updates: Vec<Update>,
    /// What the message is for.
    pub body: Body,
}

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Number chosen by the sender.
        seq: u64,
    },
    /// Answers a [`Body::Ping`].
    Ack {
        /// Number of the ping.
        seq: u64,
    },
    /// Asks a helper to probe a member.
    PingRequest {
        /// Number chosen by the sender.
        seq: u64,
        /// Member to probe.
        target: InstanceId,
    },
    /// Answers a [`Body::PingRequest`].
    IndirectAck {
        /// Number of the request.
        seq: u64,
        /// Whether the helper got an answer from the member.
        reached: bool,
    },
    /// Starts a repair: the sender's digests by bucket.
    SyncRequest {
        /// Digests by bucket.
        buckets: Box<[u64; DIGEST_BUCKETS]>,
    },
    /// Answers a [`Body::SyncRequest`] with the standings in buckets that differ.
    SyncResponse {
        /// One bit for each bucket that the standings cover.
        covered_buckets: u64,
        /// Standings of all records in these buckets.
        summaries: Vec<RecordSummary>,
        /// Whether further buckets differ.
        more: bool,
    },
    /// Carries updates and asks for whole records.
    Push {
        /// Records that the sender lacks.
        requested: Vec<InstanceId>,
        /// Whether the sender left out records to bound the message.
        truncated: bool,
    },
    /// Tells that the sender just put a generation in force.
    Notify,
}
