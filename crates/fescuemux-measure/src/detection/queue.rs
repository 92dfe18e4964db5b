//! Event queue of a simulation run.

use super::fleet::{StoreOp, StoreWrite};
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::Outcome;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Simulated event.
#[derive(Debug)]
pub(super) enum Event {
    /// A request arrives at an ingress.
    Arrival,
    Tick,
    /// The pause of the observer ends.
    Resume,
    Finish {
        id: RequestId,
        outcome: Outcome,
    },
    /// A guard's read of the ledger reaches the store.
    StoreRead(StoreOp),
    /// A guard's write of the ledger reaches the store.
    StoreWrite(Box<StoreWrite>),
}

#[derive(Debug)]
struct Scheduled {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl Scheduled {
    fn key(&self) -> (Instant, u64) {
        (self.at, self.sequence)
    }
}

/// Pending events by time. Events with the same time are returned in insertion order.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Instant, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.last_sequence, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
