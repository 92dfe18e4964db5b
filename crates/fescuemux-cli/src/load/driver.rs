//! Sends the requests at their intended times.

use super::args::Args;
use super::collector::Collector;
use super::exchange::{Due, exchange};
use super::outcome::{Failure, Outcome};
use super::plan::Plan;
use super::pool::Pool;
use super::report::Report;
use super::schedule::{Merged, Schedule};
use anyhow::Context;
use flume::Sender;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Handle};

/// Largest number of outstanding requests of a run, which bounds its memory. Later ones count
/// as unsent.
const MAX_OUTSTANDING: usize = 100_000;
/// Worker threads of the runtime. Four saturate a loopback target at the highest rates.
const WORKER_THREADS: usize = 4;
/// Time from the preparation to the first possible intended send time.
const LEAD: Duration = Duration::from_millis(20);

/// What the tasks of a run share.
struct Run {
    plan: Plan,
    pools: Vec<Pool>,
    timeout: Duration,
    outstanding: AtomicUsize,
}

/// Sends the load and returns the report after the last answer.
///
/// # Errors
///
/// Fails when the runtime cannot start.
pub(crate) fn drive(args: &Args) -> anyhow::Result<Report> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("start the runtime of the load generator")?;
    let connections = args.connections as usize;
    let pools = args.targets.iter().map(|t| Pool::new(t.addresses.clone(), connections)).collect();
    let run = Arc::new(Run {
        plan: Plan::new(args),
        pools,
        timeout: args.timeout,
        outstanding: AtomicUsize::new(0),
    });
    let length = args.warm_up + args.duration;
    let count = args.targets.len();
    let schedules = (0..count)
        .map(|i| Schedule::new(args.schedule, args.rate, length, args.seed, (i, count)))
        .collect();
    let (tx, rx) = flume::unbounded();
    let handle = runtime.handle().clone();
    // The runtime's timer has a resolution of 1 ms, which would blur the added latency, so a
    // thread of its own sleeps until each intended send time.
    let sender = thread::spawn(move || send_all(&run, &handle, Merged::new(schedules), &tx));
    let report = Collector::new(args).collect(&rx);
    let _ = sender.join();
    runtime.shutdown_background();
    Ok(report)
}

fn send_all(run: &Arc<Run>, handle: &Handle, times: Merged, tx: &Sender<Outcome>) {
    let start = Instant::now() + LEAD;
    for (index, (target, intended)) in (0..).zip(times) {
        let at = start + intended;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let due = Due { target, index, intended, at };
        if run.outstanding.load(Ordering::Relaxed) >= MAX_OUTSTANDING {
            let _ = tx.send(unsent(due));
            continue;
        }
        run.outstanding.fetch_add(1, Ordering::Relaxed);
        let (run, tx) = (Arc::clone(run), tx.clone());
        handle.spawn(async move {
            let outcome = exchange(&run.plan, &run.pools[target], due, run.timeout).await;
            run.outstanding.fetch_sub(1, Ordering::Relaxed);
            let _ = tx.send(outcome);
        });
    }
}

fn unsent(due: Due) -> Outcome {
    let Due { target, intended, .. } = due;
    let result = Err(Failure::Unsent);
    Outcome { target, intended, delay: Duration::ZERO, latency: Duration::ZERO, result }
}
