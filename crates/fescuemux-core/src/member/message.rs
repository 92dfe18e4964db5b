//! Messages between members.

use super::digest::DIGEST_BUCKETS;
use super::record::{InstanceRecord, RecordPrecedence, RecordSummary};
use crate::base::{Generation, InstanceId};

/// Configuration generation in force at a member, and the digest of its head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigVersion {
    /// Generation in force, or zero before the first one.
    pub generation: Generation,
    /// Digest of the configuration head, or all zeros if unknown.
    pub head_digest: [u8; 16],
}

/// Update about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Full record.
    Full {
        /// The record.
        record: InstanceRecord,
        /// Seconds for which the instance has been dead, as known to the sender; zero in any other
        /// state.
        dead_for_secs: u32,
    },
    /// Precedence and state, for receivers that have the record content.
    Summary(RecordSummary),
}

impl Update {
    /// Returns the instance that the update is about.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Update::Full { record, .. } => &record.instance,
            Update::Summary(summary) => &summary.instance,
        }
    }

    /// Returns the precedence of the record in the update.
    pub fn precedence(&self) -> RecordPrecedence {
        match self {
            Update::Full { record, .. } => record.precedence(),
            Update::Summary(summary) => summary.precedence,
        }
    }
}

/// Message between members. Every message carries the sender's configuration generation and
/// record digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Version of the configuration in force at the sender.
    pub config: ConfigVersion,
    /// Digest of the sender's records.
    pub digest: u64,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
    /// Purpose of the message.
    pub body: Body,
}

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Requests an [`Body::Ack`].
    Ping {
        /// Sequence number chosen by the sender.
        seq: u64,
    },
    /// Response to a [`Body::Ping`].
    Ack {
        /// Sequence number of the ping.
        seq: u64,
    },
    /// Requests an indirect probe from a helper.
    PingRequest {
        /// Sequence number chosen by the sender.
        seq: u64,
        /// Member to probe.
        target: InstanceId,
    },
    /// Response to a [`Body::PingRequest`].
    IndirectAck {
        /// Sequence number of the request.
        seq: u64,
        /// Whether the helper received an ack from the target.
        reached: bool,
    },
    /// Starts a sync.
    SyncRequest {
        /// Digests of the sender's records by bucket.
        buckets: Box<[u64; DIGEST_BUCKETS]>,
    },
    /// Response to a [`Body::SyncRequest`] with the record summaries of buckets that differ.
    SyncResponse {
        /// Bit mask of the buckets that `summaries` covers.
        covered_buckets: u64,
        /// Summaries of all records in the covered buckets.
        summaries: Vec<RecordSummary>,
        /// Whether buckets that `summaries` does not cover also differ.
        more: bool,
    },
    /// Carries updates and requests full records.
    Push {
        /// Instances whose full records the sender requests.
        requested: Vec<InstanceId>,
        /// Whether the sender omitted records to limit the message size.
        truncated: bool,
    },
    /// Announces that the sender has put a new generation in force.
    Notify,
}
