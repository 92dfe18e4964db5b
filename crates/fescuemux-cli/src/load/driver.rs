//! Sends the requests at their intended send times.

use super::args::Args;
use super::collector::Collector;
use super::exchange::{ScheduledRequest, exchange};
use super::outcome::{Failure, Outcome};
use super::plan::RequestTemplate;
use super::pool::Pool;
use super::report::Report;
use super::schedule::{MergedSchedule, Schedule};
use anyhow::Context;
use flume::Sender;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Handle};

/// Maximum number of outstanding requests of a run, which bounds its memory. Further requests are
/// not sent and count as unsent.
const MAX_OUTSTANDING_REQUESTS: usize = 100_000;
/// Number of worker threads of the runtime. Four threads saturate a loopback target at the
/// highest rates.
const WORKER_THREADS: usize = 4;
/// Delay before the first possible send time, in which the sending thread gets ready.
const START_DELAY: Duration = Duration::from_millis(20);

/// State shared by the tasks of a run.
struct LoadRun {
    template: RequestTemplate,
    pools: Vec<Pool>,
    timeout: Duration,
    /// Number of requests in progress.
    outstanding: AtomicUsize,
}

/// Sends the load and returns the report after the last response or failure.
///
/// # Errors
///
/// Fails when the runtime cannot start.
pub(crate) fn run_load(args: &Args) -> anyhow::Result<Report> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start the runtime of the load generator")?;
    let connections = args.connections as usize;
    let pools = args.targets.iter().map(|t| Pool::new(t.addresses.clone(), connections)).collect();
    let run = Arc::new(LoadRun {
        template: RequestTemplate::new(args),
        pools,
        timeout: args.timeout,
        outstanding: AtomicUsize::new(0),
    });
    let total_duration = args.warm_up + args.duration;
    let target_count = args.targets.len();
    let schedules = (0..target_count)
        .map(|i| {
            Schedule::new(args.schedule, args.rate, total_duration, args.seed, (i, target_count))
        })
        .collect();
    let (tx, rx) = flume::unbounded();
    let handle = runtime.handle().clone();
    // The timer of the runtime has a resolution of 1 ms, which would distort the added latency. A
    // separate thread therefore sleeps until each intended send time.
    let sender =
        thread::spawn(move || send_scheduled(&run, &handle, MergedSchedule::new(schedules), &tx));
    let report = Collector::new(args).collect(&rx);
    let _ = sender.join();
    runtime.shutdown_background();
    Ok(report)
}

fn send_scheduled(
    run: &Arc<LoadRun>,
    handle: &Handle,
    times: MergedSchedule,
    tx: &Sender<Outcome>,
) {
    let start = Instant::now() + START_DELAY;
    for (index, (target, intended_offset)) in (0..).zip(times) {
        let intended_at = start + intended_offset;
        thread::sleep(intended_at.saturating_duration_since(Instant::now()));
        let scheduled = ScheduledRequest { target, index, intended_offset, intended_at };
        if run.outstanding.load(Ordering::Relaxed) >= MAX_OUTSTANDING_REQUESTS {
            let _ = tx.send(unsent_outcome(scheduled));
            continue;
        }
        run.outstanding.fetch_add(1, Ordering::Relaxed);
        let (run, tx) = (Arc::clone(run), tx.clone());
        handle.spawn(async move {
            let outcome = exchange(&run.template, &run.pools[target], scheduled, run.timeout).await;
            run.outstanding.fetch_sub(1, Ordering::Relaxed);
            let _ = tx.send(outcome);
        });
    }
}

fn unsent_outcome(scheduled: ScheduledRequest) -> Outcome {
    let ScheduledRequest { target, intended_offset, .. } = scheduled;
    let result = Err(Failure::Unsent);
    Outcome { target, intended_offset, send_delay: Duration::ZERO, latency: Duration::ZERO, result }
}
