//! Inputs and outputs of the deadline queue.

use crate::base::{CallerId, RequestId};
use std::time::{Duration, Instant};

/// Settings of a [`DeadlineQueue`](crate::admit::DeadlineQueue).
#[derive(Clone, Debug)]
pub struct QueueConfig {
    /// Maximum number of waiting requests.
    pub max_len: usize,
    /// Service time assumed before the first observation.
    pub initial_service_time: Duration,
    /// Credit that a caller receives in each round of the deficit round robin, in units of cost.
    pub quantum: u32,
}

impl Default for QueueConfig {
    fn default() -> QueueConfig {
        QueueConfig { max_len: 16, initial_service_time: Duration::from_millis(25), quantum: 1 }
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Id of the request, by which it can be removed.
    pub id: RequestId,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Priority of its service; the smallest value goes first, unlike in the configuration.
    pub priority: u8,
    /// Cost in units; an ordinary request costs one unit.
    pub cost: u32,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Data that the owner of the queue keeps with the request.
    pub item: T,
}

/// Result of adding a request to the queue.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request was queued.
    Queued,
    /// The request was queued in place of the contained request, whose verdict is "not run".
    Displaced(QueuedRequest<T>),
}

/// Why the queue rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejectReason {
    /// The queue is full and no waiting request may be displaced.
    Full,
    /// The request is not expected to finish before its deadline.
    CannotFinish,
}

/// A request that the queue rejected; its verdict is "not run".
#[derive(Debug)]
pub struct RejectedRequest<T> {
    /// The rejected request.
    pub request: QueuedRequest<T>,
    /// Why the request was rejected.
    pub reason: QueueRejectReason,
    /// Time after which the queue is expected to have room.
    pub retry_after: Duration,
}
