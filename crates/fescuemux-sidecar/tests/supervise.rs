//! Tests of tasks that must run as long as the process.

use fescuemux_sidecar::supervise;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

/// An unexpected error while one message is handled must cost that message and not the task that
/// handles all of them, nor the process.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_task_is_started_again_after_a_panic() {
    LocalSet::new()
        .run_until(async {
            let starts = Rc::new(Cell::new(0));
            let counter = starts.clone();
            let supervised = spawn_local(supervise("test", move || {
                let counter = counter.clone();
                async move {
                    counter.set(counter.get() + 1);
                    assert!(counter.get() != 1, "an unexpected error");
                    if counter.get() > 2 {
                        std::future::pending::<()>().await;
                    }
                }
            }));
            tokio::time::sleep(Duration::from_secs(1)).await;
            assert_eq!(starts.get(), 3, "after a panic and after an end");
            supervised.abort();
        })
        .await;
}
