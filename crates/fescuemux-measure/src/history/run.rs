//! Executes one seeded run with its callers and checks the history.

use super::broken::InjectedBug;
use super::check::{INSTANCES, Violation, check};
use super::events::{CallerRequest, Event, Target};
use super::fault::{Fault, FaultKind};
use super::record::{Event as HistoryEvent, HistoryEntry};
use super::world::World;
use rand::Rng as _;
use std::time::{Duration, SystemTime};

/// Length of a run in virtual time.
const RUN_LENGTH: Duration = Duration::from_secs(340);
/// Number of callers.
const CALLERS: usize = 8;
/// Maximum number of resends of an operation with a key.
const MAX_RESENDS: u32 = 4;
/// Time from sending until the deadline for most requests.
const DEADLINE: Duration = Duration::from_secs(3);
/// Share of requests with [`LONG_DEADLINE`].
const LONG_DEADLINE_SHARE: f64 = 0.1;
/// Long deadline, which is still shorter than the grace period of a planned stop.
const LONG_DEADLINE: Duration = Duration::from_secs(15);
/// Mean time between two operations, or bursts of operations, of a caller in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 400;

/// Probability that a caller starts a burst of operations, which fills the queues.
const BURST_PROBABILITY: f64 = 0.005;
/// Number of operations in a burst.
const BURST_SIZE: usize = 24;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Seed of the run.
    pub seed: u64,
    /// Faults of the run.
    pub faults: Vec<Fault>,
    /// Recorded history.
    pub history: Vec<HistoryEntry>,
    /// Violations of the properties.
    pub violations: Vec<Violation>,
}

/// Runs a seed without an injected bug and with random faults.
pub fn run(seed: u64) -> RunResult {
    run_with(seed, &[], None)
}

/// Runs a seed, optionally with an injected bug. With `kinds`, the run has one fault of each given
/// kind, all with the same [`Fault::place`]; without kinds, it has one or two random faults.
pub fn run_with(seed: u64, kinds: &[FaultKind], bug: Option<InjectedBug>) -> RunResult {
    let mut world = World::new(seed, kinds, bug);
    for caller in 0..CALLERS {
        let delay = Duration::from_millis(5_000 + 50 * caller as u64);
        world.schedule_after(delay, Target::World, Event::CallerDue { caller });
    }
    world.schedule_after(Duration::from_millis(500), Target::World, Event::OperatorDue);
    while let Some((target, event)) = world.next_event(RUN_LENGTH) {
        world.handle(target, event);
    }
    let World { faults, history, .. } = world;
    let violations = check(&history);
    RunResult { seed, faults, history, violations }
}

impl World {
    /// Starts one operation or a burst of operations of a caller.
    pub(super) fn on_caller_due(&mut self, caller: usize) {
        let interval =
            self.cx.rng.random_range(REQUEST_INTERVAL_MS / 2..REQUEST_INTERVAL_MS * 3 / 2);
        let interval = Duration::from_millis(interval);
        self.schedule_after(interval, Target::World, Event::CallerDue { caller });
        let operations = if self.cx.rng.random_bool(BURST_PROBABILITY) { BURST_SIZE } else { 1 };
        for _ in 0..operations {
            self.start_operation(caller);
        }
    }

    fn start_operation(&mut self, caller: usize) {
        let op = self.next_id();
        let service = usize::from(self.cx.rng.random_bool(0.6));
        let keyed = service == 1 && self.cx.rng.random_bool(0.7);
        let wall_clock = self.wall_clock(INSTANCES + caller);
        let key = keyed.then(|| new_key(wall_clock, self.cx.rng.random()));
        let is_long = self.cx.rng.random_bool(LONG_DEADLINE_SHARE);
        let time_to_deadline = if is_long { LONG_DEADLINE } else { DEADLINE };
        self.send_request(CallerRequest {
            op,
            send: 0,
            service,
            key,
            time_to_deadline,
            resends: 0,
        });
    }

    /// Sends a request to a random instance. A request with a key may be resent, sometimes while
    /// the first request is still in flight and sometimes minutes later.
    pub(super) fn send_request(&mut self, mut request: CallerRequest) {
        request.send = self.next_id();
        let i = self.cx.rng.random_range(0..INSTANCES);
        self.record(HistoryEvent::Sent {
            op: request.op,
            send: request.send,
            instance: i,
            idempotent: request.service == 0,
            keyed: request.key.is_some(),
        });
        if request.key.is_some() && request.resends < MAX_RESENDS && self.cx.rng.random_bool(0.4) {
            let max_delay_ms = [600, 4_000, 150_000][self.cx.rng.random_range(0..3)];
            let delay = Duration::from_millis(self.cx.rng.random_range(1..max_delay_ms));
            let resend = CallerRequest { resends: request.resends + 1, ..request.clone() };
            self.schedule_after(delay, Target::World, Event::Resend { request: resend });
        }
        let latency = Duration::from_micros(self.cx.rng.random_range(8_000..12_000));
        self.schedule_after(latency, Target::Instance(i), Event::CallerRequestArrives { request });
    }
}

/// Returns a key in UUIDv7 form (RFC 9562, section 5.7) with the creation time `wall_clock`.
fn new_key(wall_clock: SystemTime, random: u64) -> String {
    let ms =
        wall_clock.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let (a, b) = (random & 0xfff, random >> 16);
    format!("{:08x}-{:04x}-7{a:03x}-8{:03x}-{:012x}", ms >> 16, ms & 0xffff, a, b)
}
