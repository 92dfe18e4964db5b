//! State shared between the connections, the background tasks and the owner of a server.

use super::execution::Execution;
use super::fault::ServerFault;
use super::faults::Faults;
use super::options::ServerOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// State of one stand-in server.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: ServerOptions,
    pub(super) started: Instant,
    pub(super) faults: watch::Sender<Faults>,
    pub(super) draining: AtomicBool,
    pub(super) announce_now: Notify,
    /// Number of busy slots as `/load` reports it, which lags behind the true one.
    pub(super) reported_load: AtomicU32,
    work: Mutex<Work>,
}

#[derive(Debug)]
struct Work {
    rng: ChaCha8Rng,
    busy: u32,
    peak: u32,
    executions: Vec<Execution>,
}

impl Shared {
    pub(super) fn new(options: ServerOptions, started: Instant) -> Shared {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Shared {
            options,
            started,
            faults: watch::Sender::new(Faults::new(ServerFault::None, started)),
            draining: AtomicBool::new(false),
            announce_now: Notify::new(),
            reported_load: AtomicU32::new(0),
            work: Mutex::new(Work { rng, busy: 0, peak: 0, executions: Vec::new() }),
        }
    }

    /// Takes a slot and records the execution; returns its index, or nothing when all slots
    /// are busy.
    pub(super) fn begin(&self, execution: Execution) -> Option<usize> {
        let mut work = self.work();
        if work.busy >= self.options.slots {
            return None;
        }
        work.busy += 1;
        work.peak = work.peak.max(work.busy);
        work.executions.push(execution);
        Some(work.executions.len() - 1)
    }

    /// Frees the slot of an execution; without a finish time it counts as canceled.
    pub(super) fn end(&self, index: usize, finished: Option<Instant>) {
        let mut work = self.work();
        work.busy -= 1;
        let execution = &mut work.executions[index];
        execution.finished = finished;
        execution.canceled = finished.is_none();
    }

    pub(super) fn service_time(&self) -> Duration {
        let share: f64 = self.work().rng.random();
        self.options.service_time + self.options.jitter.mul_f64(share)
    }

    /// Decides with the seeded generator whether a fault with this ratio hits.
    pub(super) fn hits(&self, ratio: f64) -> bool {
        self.work().rng.random::<f64>() < ratio
    }

    pub(super) fn fault(&self) -> ServerFault {
        self.faults.borrow().in_force(Instant::now())
    }

    pub(super) fn busy(&self) -> u32 {
        self.work().busy
    }

    pub(super) fn peak(&self) -> u32 {
        self.work().peak
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.work().executions.clone()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    fn work(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
