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
pub(super) struct Order {
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
pub(super) struct Hop {
    pub(super) order: Order,
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
pub(super) enum Msg {
    Member(Box<Message>),
    Exchange { call: u64, epoch: u64, young: Option<Roster>, about: Option<usize> },
    Claim { call: u64, epoch: u64, order: Order, holder: RequestId },
    Settle { call: u64, order: Order, holder: RequestId, outcome: Option<KeyOutcome> },
    Pull { call: u64, generation: Generation },
    Hop { call: u64, hop: Box<Hop> },
    Reply { call: u64, reply: Reply },
}

impl Msg {
    /// Returns the call that awaits an answer.
    pub(super) fn call(&self) -> Option<u64> {
        match self {
            Msg::Member(_) | Msg::Reply { .. } => None,
            Msg::Exchange { call, .. }
            | Msg::Claim { call, .. }
            | Msg::Settle { call, .. }
            | Msg::Pull { call, .. }
            | Msg::Hop { call, .. } => Some(*call),
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
    Hop(HopAnswer),
    /// The connection could not be opened; nothing was sent.
    Unreached,
    /// No answer came in time.
    Lost,
}

/// What continues after a call to the store.
#[derive(Clone, Debug)]
pub(super) enum Then {
    RosterRead { leave: bool },
    RosterWritten { roster: Box<Roster> },
    LedgerRead,
    LedgerWritten,
    LedgerReviewed { service: usize },
    HeadSeen,
    PlanBase { stale: bool },
    Confirm(Box<Confirming>),
}

/// A confirm under way at an instance.
#[derive(Clone, Debug)]
pub(super) struct Confirming {
    pub(super) plan: PlanId,
    pub(super) confirm: PendingConfirm,
    pub(super) config: Config,
    pub(super) pause: Duration,
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
        msg: Msg,
        copy: bool,
    },
    CallTimeout {
        call: u64,
    },
    Settle {
        order: Order,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    },
    FromCaller {
        order: Order,
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
        then: Then,
    },
    StoreArrives {
        instance: usize,
        life: u64,
        op: Op,
        then: Then,
        answered: bool,
    },
    Propose {
        stale: bool,
    },
    Confirm(Box<Confirming>),
    StopCloses,
    StopEnds {
        by: Duration,
    },
    Start {
        instance: usize,
    },
    Caller {
        caller: usize,
    },
    Resend {
        order: Order,
    },
    Operator,
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
pub(super) struct Scheduled {
    pub(super) at: Duration,
    pub(super) sequence: u64,
    pub(super) target: Target,
    pub(super) event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}
