//! Messages between instances.

use fescuemux_core::base::Verdict;
use fescuemux_core::placement::{Peer, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Asks for a slot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reserve {
    /// Name of the instance that is meant; its address may belong to another one by now.
    pub(crate) instance: String,
    /// Service that is to run the request.
    pub(crate) service: String,
    /// Rank of the route; zero is the most urgent.
    pub(crate) priority: u8,
    /// Whether a request that runs at the ingress's own server waits for this one.
    pub(crate) nested: bool,
    /// Lot of that request.
    pub(crate) lot: u16,
    /// Whether a server saw the request before.
    pub(crate) again: bool,
    /// Whether it is a call of a request that a server saw before.
    pub(crate) of_repeat: bool,
    /// Whether the request may run again.
    pub(crate) idempotent: bool,
    /// Hash of the route.
    pub(crate) route: u64,
    /// Milliseconds until the caller gets its final answer.
    pub(crate) left_ms: u32,
    /// Milliseconds until an answer loses part of its value.
    pub(crate) objective_ms: u32,
    /// Milliseconds that the ingress expects the request to run.
    pub(crate) expected_ms: u32,
    /// Whether to wait for a slot.
    pub(crate) may_wait: bool,
}

/// Sends a request for which a slot was granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Commit {
    /// Id given by the caller.
    pub(crate) request_id: String,
    /// Method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// End-to-end headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Milliseconds until the caller gets its final answer.
    pub(crate) left_ms: u32,
    /// Length of the body, if it is known; body frames follow until [`Message::BodyEnd`].
    pub(crate) body_len: Option<u64>,
}

/// A guard's refusal. The request has not run there and never will.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Refused {
    reason: Reason,
    retry_ms: u32,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Reason {
    NoServer,
    Draining,
    Stopping,
    Full,
    Doubted,
    RepeatBudget,
    TooLate,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Refused {
        let reason = match refusal.reason {
            RefusalReason::NoServer => Reason::NoServer,
            RefusalReason::Draining => Reason::Draining,
            RefusalReason::Stopping => Reason::Stopping,
            RefusalReason::Full => Reason::Full,
            RefusalReason::LikelyFaulty => Reason::Doubted,
            RefusalReason::RetryBudget => Reason::RepeatBudget,
            RefusalReason::TooLate => Reason::TooLate,
        };
        Refused { reason, retry_ms: refusal.retry_in.as_millis() as u32 }
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Refusal {
        let reason = match refused.reason {
            Reason::NoServer => RefusalReason::NoServer,
            Reason::Draining => RefusalReason::Draining,
            Reason::Stopping => RefusalReason::Stopping,
            Reason::Full => RefusalReason::Full,
            Reason::Doubted => RefusalReason::LikelyFaulty,
            Reason::RepeatBudget => RefusalReason::RetryBudget,
            Reason::TooLate => RefusalReason::TooLate,
        };
        Refusal { reason, retry_in: Duration::from_millis(u64::from(refused.retry_ms)) }
    }
}

/// Head of a backend server's answer; body frames follow until [`Message::End`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopResponseHead {
    /// Status.
    pub(crate) status: u16,
    /// End-to-end headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, if it is known.
    pub(crate) body_len: Option<u64>,
}

/// Why a committed request has no answer, or no whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// The grant had run out or the server leaves; the server saw nothing.
    Expired,
    /// The server could not be reached; it saw nothing.
    Unreachable,
    /// The server said that it did not run the request.
    Shed,
    /// The server broke off, or its answer was none.
    Broken,
    /// The time ran out while the server worked.
    Deadline,
    /// The request seemed to hang while others waited for its slot.
    Stuck,
}

impl Failure {
    /// Returns whether the request may have run.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            Failure::Expired | Failure::Unreachable | Failure::Shed => Verdict::NotRun,
            Failure::Broken | Failure::Deadline | Failure::Stuck => Verdict::MayHaveRun,
        }
    }

    /// Returns the spelling used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Expired => "grant_expired",
            Failure::Unreachable => "server_unreachable",
            Failure::Shed => "server_shed",
            Failure::Broken => "answer_broken",
            Failure::Deadline => "deadline",
            Failure::Stuck => "stuck",
        }
    }
}

/// What one instance says of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerRecord {
    instance: String,
    addr: SocketAddr,
    domain: String,
    service: String,
    incarnation: u64,
}

impl From<&Peer> for PeerRecord {
    fn from(peer: &Peer) -> PeerRecord {
        PeerRecord {
            instance: peer.id.to_string(),
            addr: peer.addr,
            domain: peer.domain.to_string(),
            service: peer.service.to_string(),
            incarnation: peer.incarnation,
        }
    }
}

impl From<PeerRecord> for Peer {
    fn from(record: PeerRecord) -> Peer {
        Peer {
            id: record.instance.into(),
            addr: record.addr,
            domain: record.domain.into(),
            service: record.service.into(),
            incarnation: record.incarnation,
        }
    }
}

/// What an instance knows, for one that knows less.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct State {
    /// Configuration as stored, when it is newer than the asker's.
    pub(crate) config: Option<Vec<u8>>,
    /// All instances known.
    pub(crate) peers: Vec<PeerRecord>,
}

/// A message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Ingress to guard: asks for a slot.
    Reserve(Reserve),
    /// Guard to ingress: the slot is held for a moment.
    Granted,
    /// Guard to ingress: the request waits, with the expected milliseconds.
    Queued(u32),
    /// Guard to ingress: the request does not run here.
    Refused(Refused),
    /// Ingress to guard: the request.
    Commit(Commit),
    /// Ingress to guard: the body is whole.
    BodyEnd,
    /// Guard to ingress: head of the answer.
    Head(HopResponseHead),
    /// Guard to ingress: the request seems to hang and others wait for its slot. The ingress may
    /// withdraw it; a stopping one does not, as its callers were promised their answers.
    Stuck,
    /// Guard to ingress: the answer is whole.
    End,
    /// Guard to ingress: there is no answer, or it broke off.
    Failed(Failure),
    /// Asks for what the other knows beyond this version of the configuration.
    Pull(u64),
    /// Answer to a pull.
    State(State),
}
