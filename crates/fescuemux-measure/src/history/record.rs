//! Entries of a history.

use fescuemux_core::base::{Generation, PlanId, Verdict};
use fescuemux_core::config::ConfirmOutcome;
use std::time::Duration;

/// An event of a history with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Virtual time since the start of the run.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// Recorded event. Instances and servers are identified by index; server `s` is guarded by instance
/// `s / 2` and belongs to service `s % 2`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request to an instance.
    Sent {
        /// Id of the caller's operation, shared by all resends.
        op: u64,
        /// Id of this request.
        send: u64,
        /// Instance that the request was sent to.
        instance: usize,
        /// Whether the route is marked idempotent.
        idempotent: bool,
        /// Whether the request carries an idempotency key.
        keyed: bool,
    },
    /// A caller received an answer.
    Answered {
        /// Id of the request.
        send: u64,
        /// Verdict of the answer.
        verdict: Verdict,
        /// Id of the request that the backend server's answer names, and whether the answer is
        /// complete; `None` when no backend server answered.
        body: Option<(u64, bool)>,
    },
    /// A backend server started to execute a request.
    Executed {
        /// Backend server that executes the request.
        server: usize,
        /// Id of the caller's operation.
        op: u64,
        /// Id of the request.
        send: u64,
    },
    /// A process ended while a connection to a caller or backend server was in use.
    Cut {
        /// Instance of the process.
        instance: usize,
        /// Id of the request on the connection.
        send: u64,
    },
    /// A backend server started or stopped draining.
    Draining {
        /// Backend server.
        server: usize,
        /// Whether the server is draining now.
        draining: bool,
    },
    /// A process started.
    Up {
        /// Instance of the process.
        instance: usize,
    },
    /// A process ended.
    Down {
        /// Instance of the process.
        instance: usize,
        /// Whether the stop was planned.
        planned: bool,
    },
    /// An ejection ledger was written to the store.
    Ledger {
        /// Index of the service.
        service: usize,
        /// Backend servers that have an entry in the ledger.
        held: Vec<usize>,
    },
    /// A guard started or stopped refusing all requests for a server.
    Refusing {
        /// Backend server whose requests the guard refuses.
        server: usize,
        /// Whether all requests are refused now.
        all: bool,
    },
    /// An instance activated a configuration generation.
    InForce {
        /// Instance that activated the generation.
        instance: usize,
        /// Activated generation.
        generation: Generation,
        /// Id of the plan that created the generation.
        plan: PlanId,
    },
    /// An operator received the outcome of a confirmation.
    Told {
        /// Id of the confirmed plan.
        plan: PlanId,
        /// Outcome that the operator received.
        outcome: ConfirmOutcome,
    },
    /// A fault began.
    FaultBegins {
        /// Index of the fault in the run.
        fault: usize,
    },
    /// A fault ended.
    FaultEnds {
        /// Index of the fault in the run.
        fault: usize,
    },
}
