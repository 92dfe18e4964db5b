//! Histories: what callers, backend servers and operators saw, and the records in the store.

use fescuemux_core::base::{Generation, PlanId, Verdict};
use fescuemux_core::config::ConfirmOutcome;
use std::time::Duration;

/// One event of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Virtual time since the start of the run.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// What happened. Instances and servers are numbered; server `s` stands beside instance `s / 2`
/// and belongs to service `s % 2`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request to an instance.
    Sent {
        /// Operation that the caller wants done; resends share it.
        op: u64,
        /// Number of this request.
        send: u64,
        /// Instance that it was sent to.
        instance: usize,
        /// Whether its route is marked idempotent.
        idempotent: bool,
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
    /// A caller received an answer.
    Answered {
        /// The request.
        send: u64,
        /// Verdict of the answer.
        verdict: Verdict,
        /// Request that a backend server's answer names, and whether the answer is whole.
        body: Option<(u64, bool)>,
    },
    /// A backend server began a request.
    Executed {
        /// The server.
        server: usize,
        /// Operation of the request.
        op: u64,
        /// Number of the request.
        send: u64,
    },
    /// A process ended with a caller's or backend server's connection still in use.
    Cut {
        /// Instance of the process.
        instance: usize,
        /// Request on the connection.
        send: u64,
    },
    /// A backend server announced to its guard that it begins or ends to drain.
    Draining {
        /// The server.
        server: usize,
        /// Whether it drains.
        draining: bool,
    },
    /// A process started.
    Up {
        /// Its instance.
        instance: usize,
    },
    /// A process ended.
    Down {
        /// Its instance.
        instance: usize,
        /// Whether the stop was planned.
        planned: bool,
    },
    /// A ledger record was written to the store.
    Ledger {
        /// Service.
        service: usize,
        /// Servers with an entry.
        held: Vec<usize>,
    },
    /// A guard began or ended to refuse all work for a server.
    Refusing {
        /// The server.
        server: usize,
        /// Whether all work is refused.
        all: bool,
    },
    /// A generation came into force at an instance.
    InForce {
        /// The instance.
        instance: usize,
        /// The generation.
        generation: Generation,
        /// Its plan.
        plan: PlanId,
    },
    /// An operator was told the outcome of a confirm.
    Told {
        /// The plan.
        plan: PlanId,
        /// The outcome.
        outcome: ConfirmOutcome,
    },
    /// A fault began.
    FaultBegins {
        /// Number of the fault in the run.
        fault: usize,
    },
    /// A fault ended.
    FaultEnds {
        /// Number of the fault in the run.
        fault: usize,
    },
}
