//! One seeded run: callers, operators and faults, and the check of its history.

use super::broken::InjectedBug;
use super::check::{INSTANCES, Violation, check};
use super::events::{Event, Order, Target};
use super::fault::{Fault, FaultKind};
use super::record::{Event as Seen, HistoryEntry};
use super::world::World;
use rand::Rng as _;
use std::time::{Duration, SystemTime};

/// Length of a run in virtual time.
const LENGTH: Duration = Duration::from_secs(340);
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
const ORDER_INTERVAL: u64 = 400;

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
pub fn run_with(seed: u64, kinds: &[FaultKind], broken: Option<InjectedBug>) -> RunResult {
    let mut world = World::new(seed, kinds, broken);
    for caller in 0..CALLERS {
        let delay = Duration::from_millis(5_000 + 50 * caller as u64);
        world.after(delay, Target::World, Event::Caller { caller });
    }
    world.after(Duration::from_millis(500), Target::World, Event::Operator);
    while let Some((target, event)) = world.pop(LENGTH) {
        world.handle(target, event);
    }
    let World { faults, history, .. } = world;
    let violations = check(&history);
    RunResult { seed, faults, history, violations }
}

impl World {
    /// Lets a caller place one order or a burst of them.
    pub(super) fn on_caller_due(&mut self, caller: usize) {
        let pause = self.cx.rng.random_range(ORDER_INTERVAL / 2..ORDER_INTERVAL * 3 / 2);
        let pause = Duration::from_millis(pause);
        self.after(pause, Target::World, Event::Caller { caller });
        let burst = if self.cx.rng.random_bool(BURST_SHARE) { BURST } else { 1 };
        for _ in 0..burst {
            self.place_order(caller);
        }
    }

    fn place_order(&mut self, caller: usize) {
        let op = self.number();
        let service = usize::from(self.cx.rng.random_bool(0.6));
        let keyed = service == 1 && self.cx.rng.random_bool(0.7);
        let wall = self.wall(INSTANCES + caller);
        let key = keyed.then(|| key(wall, self.cx.rng.random()));
        let long = self.cx.rng.random_bool(LONG_SHARE);
        let deadline = if long { LONG_DEADLINE } else { DEADLINE };
        self.send_order(Order { op, send: 0, service, key, deadline, resends: 0 });
    }

    /// Sends an order to a random instance. A booking with a key may be sent again, sometimes
    /// while the first request is still under way and sometimes after minutes.
    pub(super) fn send_order(&mut self, mut order: Order) {
        order.send = self.number();
        let i = self.cx.rng.random_range(0..INSTANCES);
        self.record(Seen::Sent {
            op: order.op,
            send: order.send,
            instance: i,
            idempotent: order.service == 0,
            keyed: order.key.is_some(),
        });
        if order.key.is_some() && order.resends < MAX_RESENDS && self.cx.rng.random_bool(0.4) {
            let longest = [600, 4_000, 150_000][self.cx.rng.random_range(0..3)];
            let delay = Duration::from_millis(self.cx.rng.random_range(1..longest));
            let again = Order { resends: order.resends + 1, ..order.clone() };
            self.after(delay, Target::World, Event::Resend { order: again });
        }
        let way = Duration::from_micros(self.cx.rng.random_range(8_000..12_000));
        self.after(way, Target::Instance(i), Event::FromCaller { order });
    }
}

/// Returns a key in UUIDv7 form (RFC 9562, section 5.7) that was created at `wall`.
fn key(wall: SystemTime, random: u64) -> String {
    let ms = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let (a, b) = (random & 0xfff, random >> 16);
    format!("{:08x}-{:04x}-7{a:03x}-8{:03x}-{:012x}", ms >> 16, ms & 0xffff, a, b)
}
