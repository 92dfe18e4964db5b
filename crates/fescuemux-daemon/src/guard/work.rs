//! A request in flight at a backend server.

use super::lease::SlotLease;
use super::server::GuardedServer;
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::{Observation, Outcome};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request in flight. Reports exactly one observation to the detector. If dropped before
/// [`InFlightRequest::finish`], reports the request as canceled.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    lease: SlotLease,
    id: RequestId,
    trial: bool,
    started: Instant,
    finished: bool,
}

impl InFlightRequest {
    pub(super) fn start(mut lease: SlotLease, id: RequestId) -> InFlightRequest {
        lease.server.on_start(id);
        let trial = lease.take_trial();
        InFlightRequest { lease, id, trial, started: Instant::now(), finished: false }
    }

    pub(super) fn server(&self) -> Arc<GuardedServer> {
        Arc::clone(&self.lease.server)
    }

    /// Returns the time since the request was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Reports the outcome and frees the slot.
    pub(super) fn finish(mut self, outcome: Outcome, latency: Duration) {
        self.report(outcome, latency);
    }

    fn report(&mut self, outcome: Outcome, latency: Duration) {
        self.finished = true;
        let observation = Observation { id: self.id, outcome, latency };
        self.lease.server.on_finish(observation, self.trial);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.finished {
            self.report(Outcome::Canceled, self.elapsed());
        }
    }
}
