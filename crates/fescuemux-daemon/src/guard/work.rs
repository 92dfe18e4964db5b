//! A request that was sent to a backend server.

use super::lease::Lease;
use super::server::GuardedServer;
use fescuemux_core::base::RequestId;
use fescuemux_core::detect::{Observation, Outcome};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request under way. It reports exactly one observation; dropped without one, it counts as
/// canceled.
#[derive(Debug)]
pub(super) struct Work {
    lease: Lease,
    id: RequestId,
    trial: bool,
    started: Instant,
    finished: bool,
}

impl Work {
    pub(super) fn start(mut lease: Lease, id: RequestId) -> Work {
        lease.server.on_start(id);
        let trial = lease.take_trial();
        Work { lease, id, trial, started: Instant::now(), finished: false }
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

impl Drop for Work {
    fn drop(&mut self) {
        if !self.finished {
            self.report(Outcome::Canceled, self.elapsed());
        }
    }
}
