//! The decision parts of one daemon process, with the state of the glue between them.

use super::events::{Hop, Order};
use super::ledger::LedgerKeeper;
use fescuemux_core::admit::{DeadlineQueue, PermitId, QueueConfig, Slots};
use fescuemux_core::base::{
    Cx, DetectionPreference, HashMap, Incarnation, InstanceId, Phase, RequestId,
};
use fescuemux_core::base::{ServerId, ServiceId, Verdict};
use fescuemux_core::config::{Config, CurrentHead};
use fescuemux_core::dedup::ClockReading;
use fescuemux_core::dedup::{HomeFence, KeyOutcome, KeyRegistry, RegistryConfig, RequestTable};
use fescuemux_core::detect::{BaselineEstimator, Detector, DetectorConfig};
use fescuemux_core::eject::{HealthConfig, HealthTracker};
use fescuemux_core::member::{Addresses, InstanceRecord, MemberConfig, MemberState, Membership};
use fescuemux_core::retry::{LatencyHistogram, RetryBudget, RetryConfig};
use fescuemux_core::route::{Choice, Router, RouterConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// As in the guard of the daemon.
const REQUEST_ID_RETENTION: Duration = Duration::from_secs(90);
const MAX_REQUEST_IDS: usize = 36_000;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stop {
    Running,
    Leaving,
    Closing,
}

/// A caller's request at its ingress.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) order: Order,
    pub(super) id: RequestId,
    pub(super) deadline: Instant,
    pub(super) claimed: bool,
    pub(super) servers: Vec<ServerId>,
    pub(super) instances: Vec<InstanceId>,
    pub(super) earlier: Option<Verdict>,
    pub(super) attempts: u8,
    pub(super) redirects: u8,
}

/// What an answer to a call continues.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Exchange { sent: Instant, about: Option<usize> },
    Claim { flight: u64 },
    Settle { order: Order, holder: RequestId, outcome: Option<KeyOutcome>, attempt: u32 },
    Pull,
    Hop { flight: u64, choice: Choice, started: Instant },
}

/// A request that waits at the guard or runs on its server.
#[derive(Clone, Debug)]
pub(super) struct HopWork {
    pub(super) hop: Hop,
    pub(super) from: usize,
    pub(super) call: u64,
    pub(super) deadline: Instant,
}

/// A request that was sent to a backend server.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) item: HopWork,
    pub(super) permit: PermitId,
    /// Number of the guarded server that holds the permit.
    pub(super) made: u64,
    pub(super) started: Instant,
    /// Whether the guard still waits for the answer.
    pub(super) open: bool,
}

/// Age of an announcement from which it no longer counts, as in the daemon.
const ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);

/// A backend server behind its guard.
#[derive(Debug)]
pub(super) struct Guarded {
    pub(super) made: u64,
    pub(super) announced: Instant,
    pub(super) phase: Phase,
    pub(super) detector: Detector,
    pub(super) health: HealthTracker,
    pub(super) slots: Slots<RequestId>,
    pub(super) queue: DeadlineQueue<HopWork>,
}

impl Guarded {
    /// Returns whether the server drains, or its last announcement is too old to tell.
    pub(super) fn takes_no_work(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.announced);
        self.phase == Phase::Draining || age > ANNOUNCEMENT_AGE
    }

    pub(super) fn new(made: u64, now: Instant, phase: Phase) -> Guarded {
        let mut detector =
            Detector::new(DetectorConfig::new(DetectionPreference::FastDetection), now);
        detector.on_phase(&mut Cx::new(now, 0), phase);
        Guarded {
            made,
            announced: now,
            phase,
            detector,
            health: HealthTracker::new(HealthConfig::new(DetectionPreference::FastDetection), now),
            slots: Slots::new(super::check::SLOTS),
            queue: DeadlineQueue::new(QueueConfig::default()),
        }
    }
}

/// What an ingress knows of a service.
#[derive(Debug)]
pub(super) struct ServiceParts {
    pub(super) budget: RetryBudget,
    pub(super) estimator: BaselineEstimator,
    pub(super) latency: LatencyHistogram,
}

/// State of the keeper of the roster.
#[derive(Debug)]
pub(super) struct RosterKeeper {
    pub(super) stepped: Instant,
    pub(super) exchanged: Option<Instant>,
    pub(super) changed: Instant,
    pub(super) wait: Duration,
    pub(super) view: (usize, Instant),
    pub(super) epoch: u64,
    pub(super) in_store: bool,
    /// Attestations that are being collected.
    pub(super) attest: Option<Attest>,
}

/// Collection of attestations about a silent home.
#[derive(Debug)]
pub(super) struct Attest {
    pub(super) silent: usize,
    pub(super) roster: fescuemux_core::dedup::Roster,
    pub(super) version: u64,
    pub(super) until: Instant,
    pub(super) given: Vec<(InstanceId, Duration)>,
}

/// State of the watcher of the store.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) next: Instant,
    pub(super) in_store: bool,
    pub(super) pause: Duration,
    pub(super) pulling: bool,
}

/// One daemon process.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) id: InstanceId,
    pub(super) life: u64,
    pub(super) up: bool,
    pub(super) stop: Stop,
    pub(super) incarnation: Incarnation,
    pub(super) started: ClockReading,
    /// Time since which the registry takes itself to know every key.
    pub(super) memory: ClockReading,
    pub(super) cx: Cx,
    pub(super) last_tick: Instant,
    pub(super) membership: Membership,
    pub(super) router: Router,
    pub(super) directory: HashMap<usize, Incarnation>,
    pub(super) routed: HashMap<InstanceId, Vec<ServerId>>,
    pub(super) parts: Vec<ServiceParts>,
    pub(super) flights: BTreeMap<u64, Flight>,
    pub(super) calls: BTreeMap<u64, (usize, Call)>,
    pub(super) table: RequestTable,
    pub(super) servers: BTreeMap<usize, Guarded>,
    pub(super) works: BTreeMap<u64, Work>,
    pub(super) fence: HomeFence,
    pub(super) registry: KeyRegistry,
    pub(super) keeper: RosterKeeper,
    pub(super) ledger: LedgerKeeper,
    pub(super) watch: Watch,
    pub(super) current: CurrentHead,
    pub(super) config: Option<Config>,
}

impl Instance {
    pub(super) fn new(
        index: usize,
        life: u64,
        now: ClockReading,
        memory: ClockReading,
        seed: u64,
    ) -> Instance {
        let id = instance_id(index);
        let wall = now.wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = wall.as_millis() as u64;
        let domain = domain_of(index);
        let record = InstanceRecord {
            instance: id.clone(),
            domain: domain.clone(),
            region: "r".into(),
            incarnation,
            version: 1,
            refutation: 0,
            addresses: Addresses { rpc: address(index), hop: address(index) },
            state: MemberState::Alive,
            servers: vec![],
            generation: 0,
        };
        let parts = |_| ServiceParts {
            budget: RetryBudget::new(RetryConfig::default(), now.monotonic),
            estimator: BaselineEstimator::new(),
            latency: LatencyHistogram::default(),
        };
        Instance {
            life,
            up: true,
            stop: Stop::Running,
            incarnation,
            started: now,
            memory,
            cx: Cx::new(now.monotonic, seed),
            last_tick: now.monotonic,
            membership: Membership::new(MemberConfig::default(), record, now.monotonic),
            router: Router::new(RouterConfig::new(id.clone(), domain, "r".into())),
            directory: HashMap::default(),
            routed: HashMap::default(),
            parts: (0..2).map(parts).collect(),
            flights: BTreeMap::new(),
            calls: BTreeMap::new(),
            table: RequestTable::new(REQUEST_ID_RETENTION, MAX_REQUEST_IDS),
            servers: BTreeMap::new(),
            works: BTreeMap::new(),
            fence: HomeFence::default(),
            registry: KeyRegistry::new(RegistryConfig::default(), memory),
            keeper: RosterKeeper {
                stepped: now.monotonic,
                exchanged: None,
                changed: now.monotonic,
                wait: Duration::ZERO,
                view: (0, now.monotonic),
                epoch: 0,
                in_store: false,
                attest: None,
            },
            ledger: LedgerKeeper::new(now.monotonic),
            watch: Watch {
                next: now.monotonic,
                in_store: false,
                pause: Duration::from_millis(250),
                pulling: false,
            },
            current: CurrentHead::new(),
            config: None,
            id,
        }
    }

    /// Returns the instances that this one holds for live and not leaving, in order.
    pub(super) fn live(&self) -> Vec<InstanceId> {
        let present = self.membership.members().filter(|r| r.state != MemberState::Leaving);
        let mut live: Vec<InstanceId> = present.map(|r| r.instance.clone()).collect();
        live.sort_unstable();
        live
    }
}

pub(super) fn instance_id(index: usize) -> InstanceId {
    format!("i{index}").into()
}

pub(super) fn domain_of(index: usize) -> fescuemux_core::base::DomainId {
    format!("d{}", index % 2).into()
}

pub(super) fn server_id(index: usize) -> ServerId {
    format!("s{index}").into()
}

pub(super) fn service_id(index: usize) -> ServiceId {
    ["lookup", "desk"][index].into()
}

/// Returns the number at the end of a name or, for a service, its position.
pub(super) fn number(name: &str) -> usize {
    match name {
        "lookup" => 0,
        "desk" => 1,
        _ => name[1..].parse().unwrap_or_default(),
    }
}

pub(super) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000))
}

/// Returns the instance with an address of [`address`].
pub(super) fn instance_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => 0,
    }
}
