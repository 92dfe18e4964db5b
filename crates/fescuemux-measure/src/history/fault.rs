//! The table of faults and the schedule of a run.

use fescuemux_core::base::Rng;
use rand::Rng as _;
use std::time::Duration;

/// Earliest start of a fault: the fleet has found together and the roster has settled by then.
const EARLIEST_START: Duration = Duration::from_secs(20);
/// Latest start of a fault.
const LATEST_START: Duration = Duration::from_secs(100);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// Calls to the store take up to several seconds.
    StoreSlow,
    /// The store answers nothing.
    StoreAway,
    /// Writes take effect and their replies are lost.
    StoreRepliesLost,
    /// Reads answer old values.
    StoreStale,
    /// Messages from one instance to another are lost.
    OneWayLoss,
    /// Two groups of instances do not reach each other.
    Cut,
    /// Messages are late by up to a second.
    Delay,
    /// Messages overtake each other.
    Reorder,
    /// Messages arrive twice, the copy late by up to half a minute.
    Duplicate,
    /// An instance stands still.
    Pause,
    /// An instance crashes and starts again without memory.
    Crash,
    /// Backend servers of a service are slow.
    ServersSlow,
    /// Backend servers of a service run requests and answer nothing.
    ServersSilent,
    /// Backend servers of a service answer errors or cut their answers.
    ServersErroring,
    /// A backend server drains.
    ServerDrains,
    /// An instance stops as planned and starts again.
    PlannedStop,
    /// Operators confirm plans made on old views.
    StalePlans,
}

impl FaultKind {
    /// The whole table.
    pub const ALL: [FaultKind; 17] = [
        FaultKind::StoreSlow,
        FaultKind::StoreAway,
        FaultKind::StoreRepliesLost,
        FaultKind::StoreStale,
        FaultKind::OneWayLoss,
        FaultKind::Cut,
        FaultKind::Delay,
        FaultKind::Reorder,
        FaultKind::Duplicate,
        FaultKind::Pause,
        FaultKind::Crash,
        FaultKind::ServersSlow,
        FaultKind::ServersSilent,
        FaultKind::ServersErroring,
        FaultKind::ServerDrains,
        FaultKind::PlannedStop,
        FaultKind::StalePlans,
    ];

    fn longest(self) -> u64 {
        match self {
            // A home that is cut off for long is expelled after 60 s of silence, and its keys
            // settle elsewhere after 60 s more.
            FaultKind::OneWayLoss | FaultKind::Cut => 220,
            FaultKind::Crash => 180,
            FaultKind::StoreAway => 100,
            FaultKind::Pause => 90,
            FaultKind::PlannedStop => 40,
            _ => 60,
        }
    }
}

/// A fault with its time and place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind.
    pub kind: FaultKind,
    /// Start.
    pub from: Duration,
    /// Length.
    pub length: Duration,
    /// Instance or server that it strikes.
    pub place: usize,
    /// Second instance, group of instances as bits, or number of servers, by kind.
    pub other: usize,
}

impl Fault {
    /// Draws one or two faults. Two may be of one kind, and half of the pairs strike one place at
    /// nearly the same time.
    pub(super) fn draw(rng: &mut Rng) -> Vec<Fault> {
        let count = if rng.random_bool(0.7) { 2 } else { 1 };
        let mut faults: Vec<Fault> = (0..count).map(|_| Fault::draw_one(rng)).collect();
        if count == 2 && rng.random_bool(0.1) {
            let kind = faults[0].kind;
            faults[1] = Fault { kind, ..faults[1] };
        }
        if count == 2 && rng.random_bool(0.5) {
            let place = faults[0].place;
            let from = faults[0].from + Duration::from_millis(rng.random_range(0..20_000));
            faults[1] = Fault { place, from, ..faults[1] };
        }
        faults
    }

    /// Draws faults of the kinds given, all at one place and at nearly the same time.
    pub(super) fn draw_kinds(rng: &mut Rng, kinds: &[FaultKind]) -> Vec<Fault> {
        let first = Fault::draw_one(rng);
        let mut next = |kind: &FaultKind| {
            let drawn = Fault::draw_one(rng);
            let from = first.from + Duration::from_millis(rng.random_range(0..20_000));
            let length = drawn.length.min(Duration::from_secs(kind.longest()));
            Fault { kind: *kind, from, length, place: first.place, ..drawn }
        };
        kinds.iter().map(&mut next).collect()
    }

    fn draw_one(rng: &mut Rng) -> Fault {
        let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let span = LATEST_START.as_millis() as u64 - EARLIEST_START.as_millis() as u64;
        let from = EARLIEST_START + Duration::from_millis(rng.random_range(0..span));
        let length = Duration::from_millis(rng.random_range(5_000..=kind.longest() * 1_000));
        Fault { kind, from, length, place: rng.random_range(0..10), other: rng.random_range(1..31) }
    }

    pub(super) fn end(&self) -> Duration {
        self.from + self.length
    }

    /// Returns whether the fault is in force at `at`.
    pub(super) fn is_active(&self, at: Duration) -> bool {
        self.from <= at && at < self.end()
    }

    /// Returns the instance that the fault strikes.
    pub(super) fn instance(&self) -> usize {
        self.place / 2
    }

    /// Returns whether messages from one instance to another are lost.
    pub(super) fn drops_messages(&self, from: usize, to: usize) -> bool {
        match self.kind {
            FaultKind::OneWayLoss => from == self.instance() && to == self.other % 5,
            FaultKind::Cut => (self.other >> from) & 1 != (self.other >> to) & 1,
            _ => false,
        }
    }

    /// Returns whether the fault makes this server sick: one to three of a service.
    pub(super) fn affects_server(&self, server: usize) -> bool {
        let count = 1 + self.other % 3;
        let same_service = server % 2 == self.place % 2;
        same_service && (server / 2 + 5 - self.place / 2) % 5 < count
    }
}
