//! Messages between instances.

use crate::fair_share_record::FairShareRecord;
use fescuemux_core::base::Verdict;
use fescuemux_core::placement::{Departure, Peer, Refusal, RelayedNotice, SlotRefusalReason};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Request of an ingress for a slot of a guard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reserve {
    /// Id of the instance to which the reservation is addressed. Any other instance refuses the
    /// reservation; the address may have been reassigned since the ingress learned it.
    #[serde(rename = "instance")]
    pub(crate) addressee: String,
    /// Service of the request.
    pub(crate) service: String,
    /// Priority of the customer, or else of the route; zero is the highest.
    pub(crate) priority: u8,
    /// Whether a request that runs at the ingress's local backend server, the parent request, waits
    /// for this request.
    pub(crate) nested: bool,
    /// Tie breaker that all requests nested in the same parent request share.
    #[serde(rename = "lot")]
    pub(crate) tie_breaker: u16,
    /// Share of the customer, if there is one.
    pub(crate) share: Option<FairShareRecord>,
    /// Whether a backend server may have received an earlier attempt of the request.
    #[serde(rename = "again")]
    pub(crate) is_retry: bool,
    /// Whether the parent request is a retry or itself nested in a retry.
    #[serde(rename = "of_repeat")]
    pub(crate) nested_in_retry: bool,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Hash of the route.
    #[serde(rename = "route")]
    pub(crate) route_hash: u64,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub(crate) time_left_ms: u32,
    /// Time left until the latency objective, after which a response is worth less, in
    /// milliseconds.
    #[serde(rename = "objective_ms")]
    pub(crate) time_to_objective_ms: u32,
    /// Running time that the ingress expects, in milliseconds.
    #[serde(rename = "expected_ms")]
    pub(crate) expected_running_ms: u32,
    /// Whether the request may be queued if no slot is free.
    pub(crate) may_wait: bool,
    /// What the server said about itself in the responses that the ingress has relayed.
    pub(crate) server_notice: Option<RelayedNoticeRecord>,
}

/// Encoded [`RelayedNotice`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RelayedNoticeRecord {
    server: String,
    incarnation: u64,
    limit: Option<f64>,
    leaving: bool,
}

impl From<RelayedNotice> for RelayedNoticeRecord {
    fn from(notice: RelayedNotice) -> RelayedNoticeRecord {
        let RelayedNotice { server, incarnation, limit, leaving } = notice;
        RelayedNoticeRecord { server: server.to_string(), incarnation, limit, leaving }
    }
}

impl From<&RelayedNoticeRecord> for RelayedNotice {
    fn from(record: &RelayedNoticeRecord) -> RelayedNotice {
        RelayedNotice {
            server: record.server.as_str().into(),
            incarnation: record.incarnation,
            // A limit that no guard sends is dropped, as it would spoil all later computations.
            limit: record.limit.filter(|limit| limit.is_finite() && *limit >= 0.0),
            leaving: record.leaving,
        }
    }
}

/// Request for which a slot was granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Commit {
    /// Request id set by the caller.
    pub(crate) request_id: String,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// End-to-end headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub(crate) time_left_ms: u32,
    /// Length of the body in bytes, if known. The body follows in frames until
    /// [`Message::BodyEnd`].
    pub(crate) body_len: Option<u64>,
}

/// Refusal of a reservation by a guard. The request has not run at its backend server and will not
/// run there unless it is reserved again.
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
    Limited,
    #[serde(rename = "Doubted")]
    LikelyFaulty,
    #[serde(rename = "RepeatBudget")]
    RetryBudget,
    TooLate,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Refused {
        let reason = match refusal.reason {
            SlotRefusalReason::NoServer => Reason::NoServer,
            SlotRefusalReason::Draining => Reason::Draining,
            SlotRefusalReason::Stopping => Reason::Stopping,
            SlotRefusalReason::Full => Reason::Full,
            SlotRefusalReason::Limited => Reason::Limited,
            SlotRefusalReason::LikelyFaulty => Reason::LikelyFaulty,
            SlotRefusalReason::RetryBudget => Reason::RetryBudget,
            SlotRefusalReason::TooLate => Reason::TooLate,
        };
        Refused { reason, retry_ms: refusal.retry_in.as_millis() as u32 }
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Refusal {
        let reason = match refused.reason {
            Reason::NoServer => SlotRefusalReason::NoServer,
            Reason::Draining => SlotRefusalReason::Draining,
            Reason::Stopping => SlotRefusalReason::Stopping,
            Reason::Full => SlotRefusalReason::Full,
            Reason::Limited => SlotRefusalReason::Limited,
            Reason::LikelyFaulty => SlotRefusalReason::LikelyFaulty,
            Reason::RetryBudget => SlotRefusalReason::RetryBudget,
            Reason::TooLate => SlotRefusalReason::TooLate,
        };
        Refusal { reason, retry_in: Duration::from_millis(u64::from(refused.retry_ms)) }
    }
}

/// Head of a backend server's response. The body follows in frames until [`Message::End`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopResponseHead {
    /// Status code.
    pub(crate) status: u16,
    /// End-to-end headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes, if known.
    pub(crate) body_len: Option<u64>,
    /// What the server says about itself.
    pub(crate) server_notice: Option<RelayedNoticeRecord>,
}

/// Reason why a committed request has no response or an incomplete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// The grant had expired or the server had left; nothing was sent to the server.
    Expired,
    /// The server could not be reached; nothing was sent to it.
    Unreachable,
    /// The server responded that it did not run the request.
    Shed,
    /// The response was truncated or invalid.
    Broken,
    /// The deadline passed while the server was running the request.
    Deadline,
    /// The request was evicted from its slot, because it seemed to hang and the slot was needed.
    #[serde(rename = "Stuck")]
    Evicted,
}

impl Failure {
    /// Returns whether the request may have run.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            Failure::Expired | Failure::Unreachable | Failure::Shed => Verdict::NotRun,
            Failure::Broken | Failure::Deadline | Failure::Evicted => Verdict::MayHaveRun,
        }
    }

    /// Returns the name used in logs, metrics and responses to callers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Failure::Expired => "grant_expired",
            Failure::Unreachable => "server_unreachable",
            Failure::Shed => "server_shed",
            Failure::Broken => "answer_broken",
            Failure::Deadline => "deadline",
            Failure::Evicted => "stuck",
        }
    }
}

/// Encoded [`Peer`], in messages and in the store.
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

/// Request for the state of an instance.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Pull {
    /// Version of the requester's configuration. The state contains a configuration only if its
    /// version is greater.
    pub(crate) config_version: u64,
    /// Whether the state contains all known instances. A fleet of a thousand would send a list of
    /// 100 KB for each instance that starts, if each pull asked for it.
    pub(crate) all_peers: bool,
}

/// Configuration and membership known to an instance. `Debug` does not show the configuration, which
/// may contain the keys of customers.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct State {
    /// Encoded configuration, if it is newer than the requester's configuration.
    pub(crate) config: Option<Vec<u8>>,
    /// The instance itself, and all instances that it knows if the requester asked for them.
    pub(crate) peers: Vec<PeerRecord>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State")
            .field("config_bytes", &self.config.as_ref().map(Vec::len))
            .field("peers", &self.peers)
            .finish()
    }
}

/// Encoded [`Departure`], in messages and in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DepartureRecord {
    server: String,
    incarnation: u64,
}

impl From<&Departure> for DepartureRecord {
    fn from(departure: &Departure) -> DepartureRecord {
        let Departure { server, incarnation } = departure;
        DepartureRecord { server: server.to_string(), incarnation: *incarnation }
    }
}

impl From<DepartureRecord> for Departure {
    fn from(record: DepartureRecord) -> Departure {
        let DepartureRecord { server, incarnation } = record;
        Departure { server: server.into(), incarnation }
    }
}

/// Departures that an instance announces to another one, which holds them for a while.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OwnerDepartures {
    /// Id of the instance that should hold them; the address may have been reassigned.
    pub(crate) addressee: String,
    /// Id of the instance whose servers announced them.
    pub(crate) owner: String,
    /// Departures; empty if the owner only asks for those that are held.
    pub(crate) departures: Vec<DepartureRecord>,
}

/// Message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Ingress to guard: reserves a slot.
    Reserve(Reserve),
    /// Guard to ingress: a slot is granted, and kept for a short time until the request arrives.
    Granted,
    /// Guard to ingress: the request is queued, with the expected wait in milliseconds.
    Queued(u32),
    /// Guard to ingress: the reservation is refused.
    Refused(Refused),
    /// Ingress to guard: the request.
    Commit(Commit),
    /// Ingress to guard: the request body is complete.
    BodyEnd,
    /// Guard to ingress: head of the response.
    Head(HopResponseHead),
    /// Guard to ingress: the request is evicted, because it seems to hang and its slot is needed.
    /// The ingress withdraws the request by closing the connection. Around a planned stop of the
    /// ingress or once the response has begun, the ingress ignores the message and waits for the
    /// response.
    #[serde(rename = "Stuck")]
    Evicted,
    /// Guard to ingress: the response is complete.
    End,
    /// Guard to ingress: there is no response, or it is truncated.
    Failed(Failure),
    /// Requests the receiver's [`State`].
    Pull(Pull),
    /// Response to a pull.
    State(State),
    /// Announces departures, and requests those that the receiver holds for the sender.
    HoldDepartures(OwnerDepartures),
    /// Response to [`Message::HoldDepartures`].
    HeldDepartures(Vec<DepartureRecord>),
}
