//! Inputs and outputs of the deadline queue.

use crate::base::{CallerId, RequestId};
use std::time::{Duration, Instant};

/// Settings of a [`DeadlineQueue`](crate::admit::DeadlineQueue).
#[derive(Clone, Debug)]
pub struct QueueConfig {
    /// Most requests that wait at a time.
    pub max_len: usize,
    /// Service time assumed before the first observation.
    pub initial_service_time: Duration,
    /// Credit, in units of cost, that a caller earns each time its turn comes.
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
    /// Caller that sent it.
    pub caller: CallerId,
    /// Priority of its service; zero goes first.
    pub priority: u8,
    /// Cost in units, one for an ordinary request.
    pub cost: u32,
    /// Time by which its answer must be ready.
    pub deadline: Instant,
    /// What the owner of the queue keeps with the request.
    pub item: T,
}

/// Result of adding a request to the queue.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request waits.
    Queued,
    /// The request waits and this one left the queue for it, with verdict "not run".
    Displaced(QueuedRequest<T>),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is full of requests with at least the same claim.
    Full,
    /// The request could not finish before its deadline.
    CannotFinish,
}

/// A request that the queue did not take; its verdict is "not run".
#[derive(Debug)]
pub struct RejectedRequest<T> {
    /// The refused request.
    pub waiting: QueuedRequest<T>,
    /// Why it was refused.
    pub reason: RejectReason,
    /// Time after which the queue expects to have room.
    pub retry_after: Duration,
}
