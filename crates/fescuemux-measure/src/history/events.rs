//! Scheduler events, messages between instances, and their order in the event queue.

use super::fault::Fault;
use super::store::{StoreAnswer, StoreOp};
use fescuemux_core::base::{Generation, Incarnation, PlanId, RequestId, Verdict};
use fescuemux_core::config::{Config, Head, PendingConfirm};
use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, Roster};
use fescuemux_core::eject::RequestKind;
use fescuemux_core::member::Message;
use std::cmp::Ordering;
use std::time::{Duration, SystemTime};

/// A request of a caller.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    /// Id of the operation, shared by all resends.
    pub(super) op: u64,
    /// Id of this request.
    pub(super) send: u64,
    /// Index of the service; the routes of service 0 are idempotent.
    pub(super) service: usize,
    /// Idempotency key.
    pub(super) key: Option<String>,
    /// Time from sending until the deadline.
    pub(super) time_to_deadline: Duration,
    /// Number of resends of the operation before this request.
    pub(super) resends: u32,
}

/// A request that an ingress sends to a guard.
#[derive(Clone, Debug)]
pub(super) struct HopRequest {
    pub(super) request: CallerRequest,
    /// Id that the ingress assigned to the request, shared by all its attempts.
    pub(super) id: RequestId,
    /// Number of earlier attempts.
    pub(super) attempt: u8,
    pub(super) server: usize,
    /// Incarnation of the guard's instance as known to the ingress.
    pub(super) incarnation: Incarnation,
    pub(super) kind: RequestKind,
    pub(super) time_to_deadline: Duration,
    pub(super) signed_at: SystemTime,
    pub(super) baseline: Option<fescuemux_core::detect::Baseline>,
}

/// A guard's answer to a [`HopRequest`].
#[derive(Clone, Debug)]
pub(super) struct HopAnswer {
    pub(super) verdict: Verdict,
    /// `send` id that the backend server's answer names, whether the answer is complete, and
    /// whether it reports success; `None` when the guard forwards no answer of the server.
    pub(super) body: Option<(u64, bool, bool)>,
    pub(super) load: Option<fescuemux_core::route::ServerLoad>,
    pub(super) health: Option<fescuemux_core::eject::HealthState>,
    pub(super) service_time: Duration,
}

/// Message from one instance to another.
#[derive(Clone, Debug)]
pub(super) enum PeerMessage {
    Member(Box<Message>),
    /// Reports the sender's roster epoch, and its roster while that has not settled. Asks when the
    /// receiver last had contact with `silent_home`, if given.
    Exchange {
        call_id: u64,
        epoch: u64,
        unsettled: Option<Roster>,
        silent_home: Option<usize>,
    },
    /// Claims the key of a request at the home of the key.
    Claim {
        call_id: u64,
        epoch: u64,
        request: CallerRequest,
        holder: RequestId,
    },
    /// Reports the outcome of a claimed request to the home of the key; `None` releases the claim.
    Settle {
        call_id: u64,
        request: CallerRequest,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
    },
    /// Asks for a configuration that is newer than `generation`.
    Pull {
        call_id: u64,
        generation: Generation,
    },
    HopRequest {
        call_id: u64,
        hop: Box<HopRequest>,
    },
    Reply {
        call_id: u64,
        reply: Reply,
    },
}

impl PeerMessage {
    /// Returns the id of the call if the message expects a reply.
    pub(super) fn call_id(&self) -> Option<u64> {
        match self {
            PeerMessage::Member(_) | PeerMessage::Reply { .. } => None,
            PeerMessage::Exchange { call_id, .. }
            | PeerMessage::Claim { call_id, .. }
            | PeerMessage::Settle { call_id, .. }
            | PeerMessage::Pull { call_id, .. }
            | PeerMessage::HopRequest { call_id, .. } => Some(*call_id),
        }
    }
}

/// Reply to a call.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    Exchange {
        epoch: u64,
        settled: bool,
        roster: Option<Roster>,
        /// Time since the last contact with the home that the request asked about.
        since_last_contact: Duration,
    },
    /// `None` when the home may not grant claims for the key at present.
    Claim(Option<ClaimResponse>),
    Settled,
    Config(Option<Box<(Head, Config)>>),
    HopAnswer(HopAnswer),
    /// The connection failed before anything was sent.
    ConnectFailed,
    /// No reply arrived in time.
    TimedOut,
}

/// Operation that continues with the answer to a store call.
#[derive(Clone, Debug)]
pub(super) enum StoreContinuation {
    /// The roster was read to be changed: with `leave`, without this instance; otherwise with this
    /// instance added or a silent home removed.
    RosterRead {
        leave: bool,
    },
    RosterWritten {
        roster: Box<Roster>,
    },
    LedgerRead,
    LedgerWritten,
    LedgerReviewed {
        service: usize,
    },
    HeadRead,
    PlanBase {
        confirm_late: bool,
    },
    Confirm(Box<ConfirmTask>),
}

/// Confirmation of a plan that is in progress at an instance.
#[derive(Clone, Debug)]
pub(super) struct ConfirmTask {
    pub(super) plan: PlanId,
    pub(super) confirm: PendingConfirm,
    pub(super) config: Config,
    pub(super) retry_delay: Duration,
}

/// Event of the scheduler.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick,
    Announce {
        server: usize,
    },
    /// Delivers a message. A duplicate made by the network opens no connection, so no connection
    /// failure is reported for it.
    Deliver {
        from: usize,
        msg: PeerMessage,
        is_duplicate: bool,
    },
    CallTimeout {
        call_id: u64,
    },
    Settle {
        request: CallerRequest,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    },
    CallerRequestArrives {
        request: CallerRequest,
    },
    Retry {
        flight_id: u64,
    },
    QueueTimeout {
        server: usize,
        id: RequestId,
    },
    RequestTimeout {
        running_id: u64,
    },
    ServerDone {
        running_id: u64,
        ok: bool,
        complete: bool,
    },
    /// Delivers the answer to a store call.
    StoreReply {
        answer: StoreAnswer,
        continuation: StoreContinuation,
    },
    /// Applies a store call; `answer_scheduled` is true if a failure or timeout is already
    /// scheduled as the answer to the instance.
    StoreCallArrives {
        instance: usize,
        process_id: u64,
        op: StoreOp,
        continuation: StoreContinuation,
        answer_scheduled: bool,
    },
    RequestPlan {
        confirm_late: bool,
    },
    Confirm(Box<ConfirmTask>),
    AdvanceStop,
    PollStop {
        deadline: Duration,
    },
    StartInstance {
        instance: usize,
    },
    CallerDue {
        caller: usize,
    },
    Resend {
        request: CallerRequest,
    },
    OperatorDue,
    FaultBegins {
        index: usize,
        fault: Fault,
    },
    FaultEnds {
        index: usize,
        fault: Fault,
    },
}

/// Recipient of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// The simulation itself.
    World,
    /// An instance, whichever process runs on it when the event is due; also when none runs.
    Instance(usize),
    /// A process by instance and id; the event is dropped if that process has ended.
    Process(usize, u64),
}

/// Entry of the event queue.
#[derive(Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: Duration,
    /// Order of events that are due at the same time.
    pub(super) sequence: u64,
    pub(super) target: Target,
    pub(super) event: Event,
}

impl Ord for ScheduledEvent {
    /// Reverses the order, because `BinaryHeap` returns its greatest element first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}
