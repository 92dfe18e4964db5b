//! Fault kinds, and the random choice of the faults of a run.

use fescuemux_core::base::Rng;
use rand::Rng as _;
use std::time::Duration;

/// Earliest start of a fault. By then, membership has converged and the roster of the instances
/// that grant claims of idempotency keys has settled.
const EARLIEST_START: Duration = Duration::from_secs(20);
/// Latest start of a fault.
const LATEST_START: Duration = Duration::from_secs(100);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// Store calls take up to 4 s.
    StoreSlow,
    /// The store does not answer.
    StoreAway,
    /// Store writes take effect, but half of their replies are lost.
    StoreRepliesLost,
    /// Store reads may return values that the last one or two writes have replaced.
    StoreStale,
    /// All messages from one instance to one other instance are lost.
    OneWayLoss,
    /// Two groups of instances cannot reach each other.
    Cut,
    /// Half of the messages are delayed by up to a second.
    Delay,
    /// Messages arrive out of order.
    Reorder,
    /// Some messages arrive twice, the second time up to 40 s later.
    Duplicate,
    /// The process of an instance is suspended.
    Pause,
    /// An instance crashes and restarts without its state.
    Crash,
    /// One to three backend servers of a service are slow.
    ServersSlow,
    /// One to three backend servers of a service run requests but never answer.
    ServersSilent,
    /// One to three backend servers of a service answer most requests with errors, some of them
    /// truncated.
    ServersErroring,
    /// A backend server drains.
    ServerDrains,
    /// An instance performs a planned stop and restarts.
    PlannedStop,
    /// Three operators at once confirm plans up to 20 s after the read of the head that the plans
    /// are based on.
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
            // The other homes may remove an unreachable home from the roster after 60 s without
            // contact, and may grant claims of its keys 60 s later.
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
    /// Index of the affected backend server, or of a server of the affected instance `place / 2`,
    /// which is the sending instance of `OneWayLoss`. Unused by faults of the store, `Cut`,
    /// `Delay`, `Reorder`, `Duplicate` and `StalePlans`.
    pub place: usize,
    /// `OneWayLoss`: the receiving instance is `other % 5`. `Cut`: bit set of the instances of one
    /// group. `ServersSlow`, `ServersSilent` and `ServersErroring`: `1 + other % 3` servers are
    /// affected. Unused by all other kinds.
    pub other: usize,
}

impl Fault {
    /// Returns one or two random faults. Both may be of the same kind. In half of the pairs, both
    /// have the same `place` and the second starts within 20 s after the first.
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

    /// Returns random faults of the given kinds. All have the same `place` and start within 20 s
    /// after a common time.
    pub(super) fn random_of_kinds(rng: &mut Rng, kinds: &[FaultKind]) -> Vec<Fault> {
        let first = Fault::random_one(rng);
        let mut random_of_kind = |kind: &FaultKind| {
            let template = Fault::random_one(rng);
            let from = first.from + Duration::from_millis(rng.random_range(0..20_000));
            let length = template.length.min(Duration::from_secs(kind.max_length_secs()));
            Fault { kind: *kind, from, length, place: first.place, ..template }
        };
        kinds.iter().map(&mut random_of_kind).collect()
    }

    fn random_one(rng: &mut Rng) -> Fault {
        let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let span_ms = LATEST_START.as_millis() as u64 - EARLIEST_START.as_millis() as u64;
        let from = EARLIEST_START + Duration::from_millis(rng.random_range(0..span_ms));
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

    /// Returns the instance that guards the server `place`.
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

    /// Returns true if `server` is `place` or one of up to two further servers of the same service.
    /// Only meaningful for the kinds `ServersSlow`, `ServersSilent` and `ServersErroring`.
    pub(super) fn affects_server(&self, server: usize) -> bool {
        let count = 1 + self.other % 3;
        let same_service = server % 2 == self.place % 2;
        same_service && (server / 2 + 5 - self.place / 2) % 5 < count
    }
}
