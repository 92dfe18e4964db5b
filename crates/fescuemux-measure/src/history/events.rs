//! Events of the scheduler, messages between instances, and the queue.

use super::fault::Fault;
use super::store::{Answer, Op};
use fescuemux_core::base::{Generation, Incarnation, PlanId, RequestId, Verdict};
use fescuemux_core::config::{Config, Head, PendingConfirm};
use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, Roster};
use fescuemux_core::eject::RequestKind;
use fescuemux_core::member::Message;
use std::cmp::Ordering;
use std::time::{Duration, SystemTime};

/// What a caller wants done.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) op: u64,
    pub(super) send: u64,
    /// Service; the routes of service 0 are idempotent.
    pub(super) service: usize,
    pub(super) key: Option<String>,
    /// Time that the caller gives each request.
    pub(super) deadline: Duration,
    pub(super) resends: u32,
}

/// A request on its way from an ingress to a guard.
#[derive(Clone, Debug)]
pub(super) struct HopRequest {
    pub(super) request: CallerRequest,
    pub(super) id: RequestId,
    pub(super) attempt: u8,
    pub(super) server: usize,
    pub(super) incarnation: Incarnation,
    pub(super) kind: RequestKind,
    pub(super) deadline: Duration,
    pub(super) signed: SystemTime,
    pub(super) baseline: Option<fescuemux_core::detect::Baseline>,
}

/// A guard's answer.
#[derive(Clone, Debug)]
pub(super) struct HopAnswer {
    pub(super) verdict: Verdict,
    /// Request that the server's answer names, whether it is whole, and whether it succeeded.
    pub(super) body: Option<(u64, bool, bool)>,
    pub(super) load: Option<fescuemux_core::route::ServerLoad>,
    pub(super) health: Option<fescuemux_core::eject::HealthState>,
    pub(super) service_time: Duration,
}

/// Message between instances.
#[derive(Clone, Debug)]
pub(super) enum PeerMessage {
    Member(Box<Message>),
    Exchange { call: u64, epoch: u64, unsettled: Option<Roster>, silence_of: Option<usize> },
    Claim { call: u64, epoch: u64, request: CallerRequest, holder: RequestId },
    Settle { call: u64, request: CallerRequest, holder: RequestId, outcome: Option<KeyOutcome> },
    Pull { call: u64, generation: Generation },
    HopRequest { call: u64, hop: Box<HopRequest> },
    Reply { call: u64, reply: Reply },
}

impl PeerMessage {
    /// Returns the call that awaits an answer.
    pub(super) fn call(&self) -> Option<u64> {
        match self {
            PeerMessage::Member(_) | PeerMessage::Reply { .. } => None,
            PeerMessage::Exchange { call, .. }
            | PeerMessage::Claim { call, .. }
            | PeerMessage::Settle { call, .. }
            | PeerMessage::Pull { call, .. }
            | PeerMessage::HopRequest { call, .. } => Some(*call),
        }
    }
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    Exchange {
        epoch: u64,
        settled: bool,
        roster: Option<Roster>,
        silence: Duration,
    },
    /// `None` for a claim that the fence refused.
    Claim(Option<ClaimResponse>),
    Settled,
    Config(Option<Box<(Head, Config)>>),
    HopAnswer(HopAnswer),
    /// The connection could not be opened; nothing was sent.
    ConnectFailed,
    /// No answer came in time.
    TimedOut,
}

/// What continues after a call to the store.
#[derive(Clone, Debug)]
pub(super) enum StoreContinuation {
    RosterRead { leave: bool },
    RosterWritten { roster: Box<Roster> },
    LedgerRead,
    LedgerWritten,
    LedgerReviewed { service: usize },
    HeadSeen,
    PlanBase { stale: bool },
    Confirm(Box<ConfirmTask>),
}

/// A confirm under way at an instance.
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
    /// A copy that the network made opens no connection, so it is never refused.
    Deliver {
        from: usize,
        msg: PeerMessage,
        copy: bool,
    },
    CallTimeout {
        call: u64,
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
        flight: u64,
    },
    QueueTimeout {
        server: usize,
        id: RequestId,
    },
    WorkTimeout {
        work: u64,
    },
    ServerDone {
        work: u64,
        ok: bool,
        whole: bool,
    },
    StoreReply {
        answer: Answer,
        continuation: StoreContinuation,
    },
    StoreCallArrives {
        instance: usize,
        process_id: u64,
        op: Op,
        continuation: StoreContinuation,
        answered: bool,
    },
    PlanRequested {
        stale: bool,
    },
    Confirm(Box<ConfirmTask>),
    AdvanceStop,
    PollStop {
        by: Duration,
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

/// Process or part of the world that takes an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    World,
    /// Whatever process runs on the instance when the event is due.
    Instance(usize),
    /// One process; void when it ended before.
    Process(usize, u64),
}

/// An event in the queue.
#[derive(Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: Duration,
    pub(super) sequence: u64,
    pub(super) target: Target,
    pub(super) event: Event,
}

impl Ord for ScheduledEvent {
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
