//! State that connections, background tasks and the owner of a stand-in server share.

use super::execution::Execution;
use super::fault::ServerFault;
use super::faults::FaultSchedule;
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
    pub(super) fault_schedule: watch::Sender<FaultSchedule>,
    pub(super) draining: AtomicBool,
    pub(super) announce_now: Notify,
    /// Number of busy slots that `/load` reports. It lags behind the current number.
    pub(super) reported_load: AtomicU32,
    work_state: Mutex<WorkState>,
}

#[derive(Debug)]
struct WorkState {
    rng: ChaCha8Rng,
    busy: u32,
    peak_busy: u32,
    executions: Vec<Execution>,
}

impl Shared {
    pub(super) fn new(options: ServerOptions, started: Instant) -> Shared {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Shared {
            options,
            started,
            fault_schedule: watch::Sender::new(FaultSchedule::new(ServerFault::None, started)),
            draining: AtomicBool::new(false),
            announce_now: Notify::new(),
            reported_load: AtomicU32::new(0),
            work_state: Mutex::new(WorkState {
                rng,
                busy: 0,
                peak_busy: 0,
                executions: Vec::new(),
            }),
        }
    }

    /// Takes a slot and records the execution. Returns the index of the execution, or `None` when
    /// all slots are busy.
    pub(super) fn start_execution(&self, execution: Execution) -> Option<usize> {
        let mut work_state = self.work_state();
        if work_state.busy >= self.options.slots {
            return None;
        }
        work_state.busy += 1;
        work_state.peak_busy = work_state.peak_busy.max(work_state.busy);
        work_state.executions.push(execution);
        Some(work_state.executions.len() - 1)
    }

    /// Frees the slot of an execution. Without a finish time, the execution counts as canceled.
    pub(super) fn end_execution(&self, index: usize, finished: Option<Instant>) {
        let mut work_state = self.work_state();
        work_state.busy -= 1;
        let execution = &mut work_state.executions[index];
        execution.finished = finished;
        execution.canceled = finished.is_none();
    }

    pub(super) fn draw_service_time(&self) -> Duration {
        let share: f64 = self.work_state().rng.random();
        self.options.service_time + self.options.jitter.mul_f64(share)
    }

    /// Draws whether a fault with this ratio is injected, using the seeded random generator.
    pub(super) fn should_inject(&self, ratio: f64) -> bool {
        self.work_state().rng.random::<f64>() < ratio
    }

    pub(super) fn fault(&self) -> ServerFault {
        self.fault_schedule.borrow().active_at(Instant::now())
    }

    pub(super) fn busy(&self) -> u32 {
        self.work_state().busy
    }

    pub(super) fn peak_busy(&self) -> u32 {
        self.work_state().peak_busy
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.work_state().executions.clone()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    fn work_state(&self) -> MutexGuard<'_, WorkState> {
        self.work_state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
