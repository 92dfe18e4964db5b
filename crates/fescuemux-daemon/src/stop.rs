//! Phases of a planned stop.
//!
//! Must not depend on how components react to the phases.

use tokio::sync::watch;

/// Phase of a planned stop. The phase only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Running,
    /// Peers and callers are asked to use other instances; all requests are still served.
    Leaving,
    /// New connections and requests are refused; requests in flight are finished.
    Closing,
    /// Requests in flight are aborted.
    Aborting,
}

/// Advances the phase of a stop.
#[derive(Clone, Debug)]
pub(crate) struct StopController {
    tx: watch::Sender<StopPhase>,
}

/// Observes the phase of a stop.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal {
    rx: watch::Receiver<StopPhase>,
}

/// Returns a connected controller and signal in phase [`StopPhase::Running`].
pub(crate) fn stop_channel() -> (StopController, StopSignal) {
    let (tx, rx) = watch::channel(StopPhase::Running);
    (StopController { tx }, StopSignal { rx })
}

impl StopController {
    /// Advances to `phase`. Has no effect if `phase` or a later phase was already reached.
    pub(crate) fn advance(&self, phase: StopPhase) {
        self.tx.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }
}

impl StopSignal {
    /// Returns the current phase.
    pub(crate) fn phase(&self) -> StopPhase {
        *self.rx.borrow()
    }

    /// Waits until `phase` or a later phase is reached. Never returns if the [`StopController`] is
    /// dropped earlier.
    pub(crate) async fn wait_for_phase(&mut self, phase: StopPhase) {
        if self.rx.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
