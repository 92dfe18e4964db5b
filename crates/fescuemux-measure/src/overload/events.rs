//! Events in order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A caller's request arrives at some ingress.
    Arrive,
    /// A phase begins.
    Phase(usize),
    /// An attempt reaches its guard.
    AtGuard(usize),
    /// The work of an attempt ends at its server.
    Done(usize),
    /// The answer of an attempt reaches the ingress.
    Answer(usize, Reply),
    /// The wait before a retry is over.
    Retry(usize),
    /// An attempt of a naive ingress took too long.
    Timeout(usize),
    /// An attempt takes longer than most.
    Hedge(usize),
    /// An ingress may probe a path.
    Probe(usize),
    /// The probe of a server's instance ends.
    Probed(usize, usize),
    /// The caller's deadline passed.
    Deadline(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reply {
    Ran,
    NotRun,
    /// The guard is busy and another may not be.
    Redirect,
    /// The instance is dead.
    NoConnection,
}

#[derive(Debug, Default)]
pub(super) struct Events {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
}

impl Events {
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
