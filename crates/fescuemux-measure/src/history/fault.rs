//! Fault kinds, and the random choice of the faults of a run.

use fescuemux_core::base::Rng;
use rand::Rng as _;
use std::time::Duration;

/// Earliest start of a fault. Membership has converged and the roster has settled by then.
const EARLIEST_START: Duration = Duration::from_secs(20);
/// Latest start of a fault.
const LATEST_START: Duration = Duration::from_secs(100);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// Store calls take up to several seconds.
    StoreSlow,
    /// The store does not answer.
    StoreAway,
    /// Store writes take effect, but their replies are lost.
    StoreRepliesLost,
    /// Store reads return old values.
    StoreStale,
    /// Messages from one instance to another are lost.
    OneWayLoss,
    /// Two groups of instances cannot reach each other.
    Cut,
    /// Messages are delayed by up to a second.
    Delay,
    /// Messages arrive out of order.
    Reorder,
    /// Messages arrive twice, the copy up to 40 s later.
    Duplicate,
    /// The process of an instance is suspended.
    Pause,
    /// An instance crashes and restarts without its state.
    Crash,
    /// Backend servers of a service are slow.
    ServersSlow,
    /// Backend servers of a service run requests but never answer.
    ServersSilent,
    /// Backend servers of a service answer with errors or truncate their answers.
    ServersErroring,
    /// A backend server drains.
    ServerDrains,
    /// An instance performs a planned stop and restarts.
    PlannedStop,
    /// Several operators confirm plans that are based on outdated heads.
    StalePlans,
}

impl FaultKind {
    /// All fault kinds.
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

    /// Returns the maximum length in seconds.
    fn max_length_secs(self) -> u64 {
        match self {
            // A partitioned home is expelled after 60 s of silence, and its keys settle at other
            // homes 60 s later.
            FaultKind::OneWayLoss | FaultKind::Cut => 220,
            FaultKind::Crash => 180,
            FaultKind::StoreAway => 100,
            FaultKind::Pause => 90,
            FaultKind::PlannedStop => 40,
            _ => 60,
        }
    }
}

/// A fault with its target and period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start in virtual time.
    pub from: Duration,
    /// Length of the fault.
    pub length: Duration,
    /// Index of the affected server; its instance is half of it.
    pub place: usize,
    /// Depending on the kind: second instance, bit set of one group of instances, or number of
    /// servers.
    pub other: usize,
}

impl Fault {
    /// Returns one or two random faults. Both may be of the same kind, and half of the pairs affect
    /// the same target with starts at most 20 s apart.
    pub(super) fn random(rng: &mut Rng) -> Vec<Fault> {
        let count = if rng.random_bool(0.7) { 2 } else { 1 };
        let mut faults: Vec<Fault> = (0..count).map(|_| Fault::random_one(rng)).collect();
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

    /// Returns random faults of the given kinds, all with the same target. Each starts within 20 s
    /// of a common time.
    pub(super) fn random_of_kinds(rng: &mut Rng, kinds: &[FaultKind]) -> Vec<Fault> {
        let first = Fault::random_one(rng);
        let mut random = |kind: &FaultKind| {
            let template = Fault::random_one(rng);
            let from = first.from + Duration::from_millis(rng.random_range(0..20_000));
            let length = template.length.min(Duration::from_secs(kind.max_length_secs()));
            Fault { kind: *kind, from, length, place: first.place, ..template }
        };
        kinds.iter().map(&mut random).collect()
    }

    fn random_one(rng: &mut Rng) -> Fault {
        let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let span = LATEST_START.as_millis() as u64 - EARLIEST_START.as_millis() as u64;
        let from = EARLIEST_START + Duration::from_millis(rng.random_range(0..span));
        let length =
            Duration::from_millis(rng.random_range(5_000..=kind.max_length_secs() * 1_000));
        Fault { kind, from, length, place: rng.random_range(0..10), other: rng.random_range(1..31) }
    }

    pub(super) fn end(&self) -> Duration {
        self.from + self.length
    }

    /// Returns true while the fault is active.
    pub(super) fn is_active(&self, at: Duration) -> bool {
        self.from <= at && at < self.end()
    }

    /// Returns the affected instance.
    pub(super) fn instance(&self) -> usize {
        self.place / 2
    }

    /// Returns true when the fault drops messages from one instance to another.
    pub(super) fn drops_messages(&self, from: usize, to: usize) -> bool {
        match self.kind {
            FaultKind::OneWayLoss => from == self.instance() && to == self.other % 5,
            FaultKind::Cut => (self.other >> from) & 1 != (self.other >> to) & 1,
            _ => false,
        }
    }

    /// Returns true for the affected backend servers: one to three servers of one service.
    pub(super) fn affects_server(&self, server: usize) -> bool {
        let count = 1 + self.other % 3;
        let same_service = server % 2 == self.place % 2;
        same_service && (server / 2 + 5 - self.place / 2) % 5 < count
    }
}
