//! Threads for blocking calls.

use crate::stop::{StopPhase, StopSignal};
use anyhow::Context;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Maximum time for which one call of `poll` blocks before the stop signal is checked again.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// Threads of a daemon; keeps the handles of the threads that [`Threads::join`] waits for.
#[derive(Debug, Default)]
pub(super) struct Threads {
    polling: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts a detached thread that ends some time after the stop. [`Threads::join`] does not wait
    /// for it, because a call to an unresponsive store may block it.
    pub(super) fn spawn_detached(
        &mut self,
        name: &str,
        task: impl FnOnce() + Send + 'static,
    ) -> anyhow::Result<()> {
        Builder::new()
            .name(name.to_owned())
            .spawn(task)
            .with_context(|| format!("cannot start thread {name}"))?;
        Ok(())
    }

    /// Starts a thread that calls `poll` until the stop signal reaches [`StopPhase::Aborting`].
    pub(super) fn spawn_polling(
        &mut self,
        name: &str,
        stop: StopSignal,
        poll: impl Fn(Duration) + Send + 'static,
    ) -> anyhow::Result<()> {
        let task = move || {
            while stop.phase() < StopPhase::Aborting {
                poll(POLL_TIMEOUT);
            }
        };
        let thread = Builder::new()
            .name(name.to_owned())
            .spawn(task)
            .with_context(|| format!("cannot start thread {name}"))?;
        self.polling.push(thread);
        Ok(())
    }

    /// Waits for the polling threads to end, which releases the addresses that they listen on.
    pub(super) fn join(self) {
        for thread in self.polling {
            if thread.join().is_err() {
                tracing::error!("server thread panicked");
            }
        }
    }
}
