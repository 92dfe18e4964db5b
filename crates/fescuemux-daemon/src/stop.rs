//! Phases of a planned stop.
//!
//! Must not know what the phases mean to a part of the daemon.

use tokio::sync::watch;

/// Phase of a stop. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was asked for.
    Running,
    /// Peers and callers are asked to go elsewhere; all work is still taken.
    Leaving,
    /// No new connections and no new work; work under way is finished.
    Closing,
    /// Work under way is cut.
    Aborting,
}

/// Sender of phases.
#[derive(Clone, Debug)]
pub(crate) struct StopControl {
    tx: watch::Sender<StopPhase>,
}

/// Receiver of phases.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal {
    rx: watch::Receiver<StopPhase>,
}

/// Returns the two ends, in phase [`StopPhase::Running`].
pub(crate) fn stop_channel() -> (StopControl, StopSignal) {
    let (tx, rx) = watch::channel(StopPhase::Running);
    (StopControl { tx }, StopSignal { rx })
}

impl StopControl {
    /// Advances to `phase`; a phase already passed has no effect.
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

    /// Waits until `phase` or a later one is reached. Never returns when the control is gone.
    pub(crate) async fn wait_for_phase(&mut self, phase: StopPhase) {
        if self.rx.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
