//! Slots held by requests, and requests that wait for one.

use super::server::GuardedServer;
use fescuemux_core::admit::PermitId;
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::TrialOutcome;
use std::sync::Arc;
use std::time::Instant;

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Grant {
    /// It holds a slot.
    Slot(PermitId),
    /// It can no longer finish in time.
    Expired,
    /// A request with a stronger claim took its place.
    Displaced,
    /// The server takes no new work.
    Draining,
}

/// A slot held by a request that has not been sent yet. Dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Lease {
    pub(super) server: Arc<GuardedServer>,
    permit: PermitId,
    /// Whether a trial must still be ended.
    trial: bool,
}

impl Lease {
    pub(super) fn new(server: &Arc<GuardedServer>, permit: PermitId, trial: bool) -> Lease {
        Lease { server: Arc::clone(server), permit, trial }
    }

    /// Takes over the duty to end the trial, if the request is one.
    pub(super) fn take_trial(&mut self) -> bool {
        std::mem::take(&mut self.trial)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.server.end_trial(self.trial, TrialOutcome::Unknown);
        self.server.release(self.permit);
    }
}

/// Place in the queue. Dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct Ticket {
    server: Arc<GuardedServer>,
    id: RequestId,
    rx: flume::Receiver<Grant>,
}

impl Ticket {
    pub(super) fn new(
        server: &Arc<GuardedServer>,
        id: RequestId,
        rx: flume::Receiver<Grant>,
    ) -> Ticket {
        Ticket { server: Arc::clone(server), id, rx }
    }

    /// Waits for a slot until `deadline`.
    pub(super) async fn wait(self, deadline: Instant) -> Grant {
        match tokio::time::timeout_at(deadline.into(), self.rx.recv_async()).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(_)) | Err(_) => Grant::Expired,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.server.leave_queue(self.id, &self.rx);
    }
}
