//! State of one daemon process: the components of `fescuemux-core` and the state that connects
//! them.

use super::events::{CallerRequest, HopRequest};
use super::ledger::LedgerWriter;
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

// The values of the daemon's guard.
const REQUEST_ID_RETENTION: Duration = Duration::from_secs(90);
const MAX_REQUEST_IDS: usize = 36_000;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StopPhase {
    Running,
    /// The instance has announced that it leaves, and still accepts requests.
    Leaving,
    /// The instance refuses new requests and ends when no request is in flight.
    Closing,
}

/// A caller's request that its ingress is handling.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    pub(super) request: CallerRequest,
    pub(super) id: RequestId,
    pub(super) deadline: Instant,
    pub(super) needs_claim: bool,
    pub(super) tried_servers: Vec<ServerId>,
    pub(super) unreachable_instances: Vec<InstanceId>,
    pub(super) previous_verdict: Option<Verdict>,
    pub(super) attempts: u8,
    pub(super) reassignments: u8,
}

/// A call that waits for its reply, with the state needed to continue.
#[derive(Clone, Debug)]
pub(super) enum PendingCall {
    Exchange { sent: Instant, silent_home: Option<usize> },
    Claim { flight_id: u64 },
    Settle { request: CallerRequest, holder: RequestId, outcome: Option<KeyOutcome>, attempt: u32 },
    Pull,
    HopRequest { flight_id: u64, choice: Choice, started: Instant },
}

/// A request that is queued at the guard or runs on its backend server.
#[derive(Clone, Debug)]
pub(super) struct GuardRequest {
    pub(super) hop: HopRequest,
    /// Instance of the ingress.
    pub(super) from: usize,
    /// Id of the call to answer.
    pub(super) call_id: u64,
    pub(super) deadline: Instant,
}

/// A request that was sent to a backend server.
#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) item: GuardRequest,
    pub(super) permit: PermitId,
    /// Registration of the server when the permit was acquired.
    pub(super) registration_id: u64,
    pub(super) started: Instant,
    /// Whether the guard is still waiting for the answer. Always true, because the request is
    /// removed when the guard stops waiting.
    pub(super) open: bool,
}

/// Age of the last announcement beyond which a server gets no new requests, as in the daemon.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);

/// A backend server as its guard sees it.
#[derive(Debug)]
pub(super) struct GuardedServer {
    /// Id of this registration. A server that was removed and announces itself again gets a new id.
    pub(super) registration_id: u64,
    pub(super) last_announcement: Instant,
    pub(super) phase: Phase,
    pub(super) detector: Detector,
    pub(super) health: HealthTracker,
    pub(super) slots: Slots<RequestId>,
    pub(super) queue: DeadlineQueue<GuardRequest>,
}

impl GuardedServer {
    /// Returns true if the server is draining, or if its last announcement is too old to tell.
    pub(super) fn refuses_work(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last_announcement);
        self.phase == Phase::Draining || age > MAX_ANNOUNCEMENT_AGE
    }

    pub(super) fn new(registration_id: u64, now: Instant, phase: Phase) -> GuardedServer {
        let mut detector =
            Detector::new(DetectorConfig::new(DetectionPreference::FastDetection), now);
        detector.on_phase(&mut Cx::new(now, 0), phase);
        GuardedServer {
            registration_id,
            last_announcement: now,
            phase,
            detector,
            health: HealthTracker::new(HealthConfig::new(DetectionPreference::FastDetection), now),
            slots: Slots::new(super::check::SLOTS_PER_SERVER),
            queue: DeadlineQueue::new(QueueConfig::default()),
        }
    }
}

/// State that an ingress keeps for a service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) budget: RetryBudget,
    pub(super) estimator: BaselineEstimator,
    pub(super) latencies: LatencyHistogram,
}

/// State of the roster maintenance.
#[derive(Debug)]
pub(super) struct RosterTask {
    pub(super) last_step: Instant,
    pub(super) last_exchange: Option<Instant>,
    pub(super) last_change: Instant,
    pub(super) change_delay: Duration,
    /// Number of live instances, and the time when that number last changed.
    pub(super) live_count: (usize, Instant),
    /// Epoch of the roster at the last step.
    pub(super) epoch: u64,
    pub(super) store_call_pending: bool,
    /// Attestation round in progress.
    pub(super) attestation_round: Option<AttestationRound>,
}

/// Round in which one home collects attestations of how long another home has been silent.
#[derive(Debug)]
pub(super) struct AttestationRound {
    pub(super) silent_home: usize,
    pub(super) roster: fescuemux_core::dedup::Roster,
    /// Version of the roster in the store.
    pub(super) version: u64,
    pub(super) deadline: Instant,
    /// Attesting homes, and the time since their last contact with the silent home.
    pub(super) attestations: Vec<(InstanceId, Duration)>,
}

/// State of watching the configuration head in the store.
#[derive(Debug)]
pub(super) struct HeadWatch {
    pub(super) next_read: Instant,
    pub(super) read_pending: bool,
    /// Last turn in which this instance read the head as a follower.
    pub(super) last_turn: Option<u128>,
    pub(super) retry_delay: Duration,
    pub(super) pull_pending: bool,
}

/// One daemon process.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) id: InstanceId,
    pub(super) process_id: u64,
    pub(super) is_up: bool,
    pub(super) stop_phase: StopPhase,
    pub(super) incarnation: Incarnation,
    pub(super) started: ClockReading,
    /// Start of the period for which the registry is assumed to contain every key.
    pub(super) registry_since: ClockReading,
    pub(super) cx: Cx,
    pub(super) last_tick: Instant,
    pub(super) membership: Membership,
    pub(super) router: Router,
    /// Incarnations of the instances that are not dead.
    pub(super) directory: HashMap<usize, Incarnation>,
    /// Servers of each instance that the router may choose.
    pub(super) routed_servers: HashMap<InstanceId, Vec<ServerId>>,
    pub(super) services: Vec<ServiceState>,
    pub(super) in_flight: BTreeMap<u64, InFlightRequest>,
    /// Pending calls with their recipients, by call id.
    pub(super) calls: BTreeMap<u64, (usize, PendingCall)>,
    pub(super) request_table: RequestTable,
    pub(super) servers: BTreeMap<usize, GuardedServer>,
    pub(super) running: BTreeMap<u64, RunningRequest>,
    pub(super) fence: HomeFence,
    pub(super) registry: KeyRegistry,
    pub(super) roster_task: RosterTask,
    pub(super) ledger_writer: LedgerWriter,
    pub(super) watch: HeadWatch,
    pub(super) current_head: CurrentHead,
    pub(super) config: Option<Config>,
}

impl Instance {
    pub(super) fn new(
        index: usize,
        process_id: u64,
        now: ClockReading,
        registry_since: ClockReading,
        seed: u64,
    ) -> Instance {
        let id = instance_id(index);
        let wall_clock = now.wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = wall_clock.as_millis() as u64;
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
        let new_service = |_| ServiceState {
            budget: RetryBudget::new(RetryConfig::default(), now.monotonic),
            estimator: BaselineEstimator::new(),
            latencies: LatencyHistogram::default(),
        };
        Instance {
            process_id,
            is_up: true,
            stop_phase: StopPhase::Running,
            incarnation,
            started: now,
            registry_since,
            cx: Cx::new(now.monotonic, seed),
            last_tick: now.monotonic,
            membership: Membership::new(MemberConfig::default(), record, now.monotonic),
            router: Router::new(RouterConfig::new(id.clone(), domain, "r".into())),
            directory: HashMap::default(),
            routed_servers: HashMap::default(),
            services: (0..2).map(new_service).collect(),
            in_flight: BTreeMap::new(),
            calls: BTreeMap::new(),
            request_table: RequestTable::new(REQUEST_ID_RETENTION, MAX_REQUEST_IDS),
            servers: BTreeMap::new(),
            running: BTreeMap::new(),
            fence: HomeFence::default(),
            registry: KeyRegistry::new(RegistryConfig::default(), registry_since),
            roster_task: RosterTask {
                last_step: now.monotonic,
                last_exchange: None,
                last_change: now.monotonic,
                change_delay: Duration::ZERO,
                live_count: (0, now.monotonic),
                epoch: 0,
                store_call_pending: false,
                attestation_round: None,
            },
            ledger_writer: LedgerWriter::new(now.monotonic),
            watch: HeadWatch {
                next_read: now.monotonic,
                read_pending: false,
                last_turn: None,
                retry_delay: Duration::from_millis(250),
                pull_pending: false,
            },
            current_head: CurrentHead::new(),
            config: None,
            id,
        }
    }

    /// Returns the instances that this instance considers neither dead nor leaving, sorted by id.
    pub(super) fn live_instances(&self) -> Vec<InstanceId> {
        let staying = self.membership.members().filter(|r| r.state != MemberState::Leaving);
        let mut live: Vec<InstanceId> = staying.map(|r| r.instance.clone()).collect();
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

/// Returns the index that an id ends with, or the index of a service.
pub(super) fn index_of(name: &str) -> usize {
    match name {
        "lookup" => 0,
        "desk" => 1,
        _ => name[1..].parse().unwrap_or_default(),
    }
}

pub(super) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_000))
}

/// Returns the index of the instance with an address, the inverse of [`address`].
pub(super) fn instance_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => 0,
    }
}
