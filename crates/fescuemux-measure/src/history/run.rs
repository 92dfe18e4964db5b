//! One seeded run: callers, operators and faults, and the check of its history.

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
/// Most resends of one booking.
const MAX_RESENDS: u32 = 4;
/// Time that most callers give a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Share of requests with a long deadline; below the time that a planned stop waits.
const LONG_SHARE: f64 = 0.1;
const LONG_DEADLINE: Duration = Duration::from_secs(15);
/// Mean time between two orders of a caller, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 400;

/// Share of the times at which a caller places many orders at once, which fills queues.
const BURST_SHARE: f64 = 0.005;
const BURST: usize = 24;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Seed.
    pub seed: u64,
    /// Faults that were drawn.
    pub faults: Vec<Fault>,
    /// What was seen.
    pub history: Vec<HistoryEntry>,
    /// Violated properties.
    pub violations: Vec<Violation>,
}

/// Runs a seed over the glue as it is.
pub fn run(seed: u64) -> RunResult {
    run_with(seed, &[], None)
}

/// Runs a seed over the glue or a broken version of it, with faults of the kinds given at one
/// place, or with drawn ones when no kind is given.
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
    /// Lets a caller place one order or a burst of them.
    pub(super) fn on_caller_due(&mut self, caller: usize) {
        let pause = self.cx.rng.random_range(REQUEST_INTERVAL_MS / 2..REQUEST_INTERVAL_MS * 3 / 2);
        let pause = Duration::from_millis(pause);
        self.schedule_after(pause, Target::World, Event::CallerDue { caller });
        let burst = if self.cx.rng.random_bool(BURST_SHARE) { BURST } else { 1 };
        for _ in 0..burst {
            self.start_operation(caller);
        }
    }

    fn start_operation(&mut self, caller: usize) {
        let op = self.next_id();
        let service = usize::from(self.cx.rng.random_bool(0.6));
        let keyed = service == 1 && self.cx.rng.random_bool(0.7);
        let wall_clock = self.wall_clock(INSTANCES + caller);
        let key = keyed.then(|| key(wall_clock, self.cx.rng.random()));
        let long = self.cx.rng.random_bool(LONG_SHARE);
        let deadline = if long { LONG_DEADLINE } else { DEADLINE };
        self.send_request(CallerRequest { op, send: 0, service, key, deadline, resends: 0 });
    }

    /// Sends an order to a random instance. A booking with a key may be sent again, sometimes
    /// while the first request is still under way and sometimes after minutes.
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

/// Returns a key in UUIDv7 form (RFC 9562, section 5.7) that was created at `wall`.
fn key(wall_clock: SystemTime, random: u64) -> String {
    let ms =
        wall_clock.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let (a, b) = (random & 0xfff, random >> 16);
    format!("{:08x}-{:04x}-7{a:03x}-8{:03x}-{:012x}", ms >> 16, ms & 0xffff, a, b)
}
