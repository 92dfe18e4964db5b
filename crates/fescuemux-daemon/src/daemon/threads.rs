//! Threads for calls that block.

use crate::stop::{StopPhase, StopSignal};
use anyhow::Context;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Time after which a polled server looks whether it should stop.
const POLL_WAIT: Duration = Duration::from_millis(50);

/// Threads of a daemon.
#[derive(Debug, Default)]
pub(super) struct Threads {
    polled: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts a thread that ends by itself some time after the stop. A call to a store that does
    /// not answer may hold it, so nobody waits for it.
    pub(super) fn spawn(
        &mut self,
        name: &str,
        work: impl FnOnce() + Send + 'static,
    ) -> anyhow::Result<()> {
        Builder::new()
            .name(name.to_owned())
            .spawn(work)
            .with_context(|| format!("cannot start thread {name}"))?;
        Ok(())
    }

    /// Starts a thread that calls `poll` until the signal reaches its last phase.
    pub(super) fn poll(
        &mut self,
        name: &str,
        stop: StopSignal,
        poll: impl Fn(Duration) + Send + 'static,
    ) -> anyhow::Result<()> {
        let work = move || {
            while stop.phase() < StopPhase::Aborting {
                poll(POLL_WAIT);
            }
        };
        let thread = Builder::new()
            .name(name.to_owned())
            .spawn(work)
            .with_context(|| format!("cannot start thread {name}"))?;
        self.polled.push(thread);
        Ok(())
    }

    /// Waits for the polled threads, which frees their addresses.
    pub(super) fn join(self) {
        for thread in self.polled {
            if thread.join().is_err() {
                tracing::error!("a server thread panicked");
            }
        }
    }
}
