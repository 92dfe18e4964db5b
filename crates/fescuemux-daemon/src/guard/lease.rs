//! Leases of slots and places in a server's queue.

use super::server::GuardedServer;
use fescuemux_core::admit::PermitId;
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::TrialOutcome;
use std::sync::Arc;
use std::time::Instant;

/// Result of waiting in a server's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueOutcome {
    /// The request was granted a slot.
    Slot(PermitId),
    /// The request can no longer finish before its deadline.
    Expired,
    /// A request that takes precedence displaced this request from the full queue.
    Displaced,
    /// The server is draining, or has not announced itself lately.
    Draining,
}

/// Slot held by a request. Dropping the lease frees the slot and ends an unreported trial with
/// [`TrialOutcome::Unknown`].
#[derive(Debug)]
pub(super) struct SlotLease {
    pub(super) server: Arc<GuardedServer>,
    permit: PermitId,
    /// Whether the request is a trial whose end this lease must report.
    trial: bool,
}

impl SlotLease {
    pub(super) fn new(server: &Arc<GuardedServer>, permit: PermitId, trial: bool) -> SlotLease {
        SlotLease { server: Arc::clone(server), permit, trial }
    }

    /// Returns whether the request is a trial whose end has not been reported. If so, the calling
    /// code must report the end instead of this lease.
    pub(super) fn take_trial(&mut self) -> bool {
        std::mem::take(&mut self.trial)
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.server.end_trial(self.trial, TrialOutcome::Unknown);
        self.server.release(self.permit);
    }
}

/// Place of a request in the queue. Dropping the ticket removes the request from the queue.
#[derive(Debug)]
pub(super) struct QueueTicket {
    server: Arc<GuardedServer>,
    id: RequestId,
    rx: flume::Receiver<QueueOutcome>,
}

impl QueueTicket {
    pub(super) fn new(
        server: &Arc<GuardedServer>,
        id: RequestId,
        rx: flume::Receiver<QueueOutcome>,
    ) -> QueueTicket {
        QueueTicket { server: Arc::clone(server), id, rx }
    }

    /// Waits for a slot until `deadline`, then returns [`QueueOutcome::Expired`].
    pub(super) async fn wait(self, deadline: Instant) -> QueueOutcome {
        match tokio::time::timeout_at(deadline.into(), self.rx.recv_async()).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => QueueOutcome::Expired,
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.server.leave_queue(self.id, &self.rx);
    }
}
