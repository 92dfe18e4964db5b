//! Restart of tasks that must run as long as the process.

use std::time::Duration;
use tokio::task::spawn_local;
use tracing::error;

/// Pause before a task is started again, so that a task that fails at once does not use the whole
/// processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs the task that `start` returns, and starts it again whenever it ends, also by a panic. A
/// process whose listeners work but which, for example, no longer answers load queries would
/// otherwise look alive and serve nothing.
///
/// Must be called within a [`tokio::task::LocalSet`].
pub async fn supervise<F: Future<Output = ()> + 'static>(
    name: &'static str,
    mut start: impl FnMut() -> F,
) {
    loop {
        match spawn_local(start()).await {
            Ok(()) => error!(event = "task_ended", task = name),
            Err(e) if e.is_cancelled() => return,
            Err(e) => error!(event = "task_failed", task = name, error = %e),
        }
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
