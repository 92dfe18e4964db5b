//! Simulation events and their queue, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Simulation event with the index of its subject: a request, attempt, phase, ingress or server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A caller's request arrives at a random ingress.
    Arrive,
    /// A phase of the run begins.
    Phase(usize),
    /// An attempt reaches its guard.
    ArriveAtGuard(usize),
    /// The backend server finishes an attempt.
    WorkDone(usize),
    /// The reply to an attempt reaches the ingress.
    Answer(usize, Reply),
    /// The delay before a retry is over.
    Retry(usize),
    /// The attempt timeout of a naive ingress expires.
    Timeout(usize),
    /// The hedging delay of an attempt expires.
    Hedge(usize),
    /// An ingress checks whether to probe a path.
    Probe(usize),
    /// A probe by an ingress (first index) of the path to the instance of a server (second) ends.
    ProbeDone(usize, usize),
    /// The caller's deadline expires.
    Deadline(usize),
}

/// Reply to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reply {
    Ran,
    NotRun,
    /// The guard has no free slot, but another guard may have one.
    Redirect,
    /// The instance is dead, so the attempt did not reach a guard.
    NoConnection,
}

#[derive(Debug, Default)]
pub(super) struct Events {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    last_sequence: u64,
}

impl Events {
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
