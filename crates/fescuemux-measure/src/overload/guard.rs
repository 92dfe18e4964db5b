//! A guard with the queue and slots of its backend server.

use crate::overload::setup::QueuePolicy;
use fescuemux_core::admit::{
    DeadlineQueue, PermitId, PushOutcome, QueueConfig, QueuedRequest, Slots,
};
use fescuemux_core::base::Cx;
use fescuemux_core::route::ServerLoad;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub(super) enum Queue {
    Deadline(DeadlineQueue<usize>),
    Fifo(VecDeque<usize>),
}

#[derive(Debug)]
pub(super) struct Guard {
    pub(super) instance_dead: bool,
    pub(super) server_down: bool,
    slots: Slots<()>,
    queue: Queue,
    /// Queue lengths at which the guard blocks and unblocks.
    thresholds: Option<(usize, usize)>,
    blocked: bool,
}

/// Attempts, by index, that the guard started or refused.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) started: Vec<(usize, PermitId)>,
    pub(super) refused: Vec<usize>,
}

impl Guard {
    pub(super) fn new(slots: u32, policy: QueuePolicy, service_time: Duration) -> Guard {
        let cfg = QueueConfig { initial_service_time: service_time, ..QueueConfig::default() };
        let queue = match policy {
            QueuePolicy::Deadline | QueuePolicy::Thresholds(..) => {
                Queue::Deadline(DeadlineQueue::new(cfg))
            }
            QueuePolicy::Fifo => Queue::Fifo(VecDeque::new()),
        };
        let thresholds = match policy {
            QueuePolicy::Thresholds(block, unblock) => Some((block, unblock)),
            QueuePolicy::Deadline | QueuePolicy::Fifo => None,
        };
        let slots = Slots::new(slots);
        Guard { instance_dead: false, server_down: false, slots, queue, thresholds, blocked: false }
    }

    pub(super) fn load(&self) -> ServerLoad {
        let queued = match &self.queue {
            Queue::Deadline(queue) => queue.len(),
            Queue::Fifo(queue) => queue.len(),
        };
        let (busy, slots) = (self.slots.busy(), self.slots.limit());
        ServerLoad { busy, slots, queued: queued as u32 }
    }

    /// Returns true if a new attempt would have to wait for a slot.
    pub(super) fn is_busy(&self) -> bool {
        self.slots.free() == 0
    }

    /// Starts, queues or refuses an attempt. The queue treats each ingress as one caller.
    pub(super) fn on_attempt(
        &mut self,
        cx: &mut Cx,
        attempt: usize,
        ingress: usize,
        deadline: Instant,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        if self.server_down || self.is_blocked() {
            outcome.refused.push(attempt);
            return outcome;
        }
        match &mut self.queue {
            Queue::Fifo(queue) => queue.push_back(attempt),
            Queue::Deadline(queue) => {
                let (id, caller) = (attempt as u128, format!("c{ingress}").into());
                let request =
                    QueuedRequest { id, caller, priority: 0, cost: 1, deadline, item: attempt };
                match queue.push(cx, self.slots.limit(), request) {
                    Ok(PushOutcome::Queued) => {}
                    Ok(PushOutcome::Displaced(other)) => outcome.refused.push(other.item),
                    Err(refused) => outcome.refused.push(refused.request.item),
                }
            }
        }
        self.start_queued(cx, &mut outcome);
        outcome
    }

    fn is_blocked(&mut self) -> bool {
        let Some((block, unblock)) = self.thresholds else {
            return false;
        };
        let queued = self.load().queued as usize;
        self.blocked = queued >= block || (self.blocked && queued > unblock);
        self.blocked
    }

    /// Releases a permit and starts queued attempts.
    pub(super) fn finish(&mut self, cx: &mut Cx, permit: PermitId, time: Duration) -> Outcome {
        self.slots.release(permit);
        if let Queue::Deadline(queue) = &mut self.queue {
            queue.record_service_time(time);
        }
        let mut outcome = Outcome::default();
        self.start_queued(cx, &mut outcome);
        outcome
    }

    fn start_queued(&mut self, cx: &mut Cx, outcome: &mut Outcome) {
        while self.slots.free() > 0 {
            let mut expired = vec![];
            let next = match &mut self.queue {
                Queue::Deadline(queue) => queue.pop(cx, &mut expired).map(|queued| queued.item),
                Queue::Fifo(queue) => queue.pop_front(),
            };
            outcome.refused.extend(expired.iter().map(|queued| queued.item));
            let Some(attempt) = next else {
                return;
            };
            let permit = self.slots.acquire(());
            outcome.started.extend(permit.map(|permit| (attempt, permit)));
        }
    }
}
