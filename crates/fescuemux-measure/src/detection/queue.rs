//! Events of one run in the order of their time.

use super::fleet::{StoreOp, StoreWrite};
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::Outcome;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// What happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    Arrival,
    Tick,
    Resume,
    Finish { id: RequestId, outcome: Outcome },
    StoreRead(StoreOp),
    StoreWrite(Box<StoreWrite>),
}

#[derive(Debug)]
struct Scheduled {
    at: Instant,
    order: u64,
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
        (self.at, self.order)
    }
}

/// Events to come. Events of the same time happen in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at: Instant, event: Event) {
        self.order += 1;
        self.heap.push(Reverse(Scheduled { at, order: self.order, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
