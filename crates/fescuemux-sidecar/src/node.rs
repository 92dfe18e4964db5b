//! State of one sidecar process.

mod running_request;

use crate::h1::Connection;
use crate::hop::HopPool;
use crate::load_query::LoadQueries;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::{Dialect, FleetConfig, NodeSettings};
use anyhow::Result;
use fescuemux_core::allowances::AllowanceExchange;
use fescuemux_core::base::{Clock, Cx, Generation, HashMap, Incarnation};
use fescuemux_core::caller_keys::{CallerAccount, CallerKeys, FrequentCallers, UnfinishedParents};
use fescuemux_core::locality::LocalityPolicy;
use fescuemux_core::pipelining::{EarlyStarts, PipelineLimits};
use fescuemux_core::placement::{
    Admission, AdmissionController, ConfigFreshness, ConfigRole, Departure, FailedRequests,
    HeldDepartures, LocalServer, NoticeChange, OwnDepartures, Peer, PeerDirectory, RelayedNotice,
    RelayedNotices, RunningTimes, ServerNotice, ServerReport, ShutdownDeadlines, Ticket,
    TrafficSplitter,
};
pub(crate) use running_request::RunningRequest;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot, watch};
use tracing::info;

/// Time after the grace period of a planned stop in which lost requests are still attributed to it.
const STOP_AFTERMATH: Duration = Duration::from_secs(1);

/// State of one sidecar process, shared by the tasks of the process on a single thread.
pub(crate) struct Node {
    pub(crate) settings: RefCell<NodeSettings>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) memory: Rc<Memory>,
    pub(crate) admission: RefCell<AdmissionController>,
    /// Channels that deliver the admission decision to queued requests.
    pub(crate) admission_senders: RefCell<HashMap<Ticket, oneshot::Sender<Admission>>>,
    /// Channels that notify running requests of their eviction from a slot.
    pub(crate) eviction_senders: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
    /// Idle connections to the local backend server, most recently used last.
    pub(crate) idle_server_connections: RefCell<Vec<(SocketAddr, Connection)>>,
    /// Last logged state: whether the local backend server is suspected to be faulty.
    pub(crate) logged_as_suspected: Cell<bool>,
    /// Requests that are running at the local backend server.
    pub(crate) running_requests: RefCell<Vec<RunningRequest>>,
    /// Requests that may run at the local backend server without being in `running_requests`.
    pub(crate) unfinished_parents: RefCell<UnfinishedParents>,
    /// Start time of the process.
    pub(crate) started_at: Instant,
    /// Time from which new requests are refused because they could outlast the process.
    pub(crate) refuse_requests_from: Cell<Option<Instant>>,
    /// Shutdown deadlines, set when shutdown begins.
    pub(crate) shutdown_deadlines: Cell<Option<ShutdownDeadlines>>,
    /// Customers with a metric label of their own.
    pub(crate) frequent_callers: RefCell<FrequentCallers>,
    /// Requests that recently failed at this ingress, including nested requests sent by the local
    /// backend server.
    pub(crate) failed_requests: RefCell<FailedRequests>,
    pub(crate) directory: RefCell<PeerDirectory>,
    /// Time of the last list of the instances in the store.
    pub(crate) listed_at: Cell<Option<Instant>>,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    pub(crate) config_freshness: RefCell<ConfigFreshness>,
    /// Wakes the task that announces a new configuration to other instances.
    pub(crate) config_notify: Notify,
    pub(crate) traffic_splitter: RefCell<TrafficSplitter>,
    /// Mean response size by route hash, in kilobytes.
    pub(crate) mean_response_kb: RefCell<HashMap<u64, f64>>,
    /// Running times, by route, of attempts that got a response.
    pub(crate) running_times: RefCell<RunningTimes>,
    /// What servers said about themselves in the responses relayed to callers.
    pub(crate) relayed_notices: RefCell<RelayedNotices>,
    /// Departures that servers announced to this instance.
    pub(crate) own_departures: RefCell<OwnDepartures>,
    /// Departures that this instance holds for others.
    pub(crate) held_departures: RefCell<HeldDepartures>,
    /// Notifies of changes of [`Node::own_departures`], also of confirmations.
    pub(crate) departures_changed: watch::Sender<()>,
    /// Last report that came before [`Node::knows_departures`].
    pub(crate) deferred_report: RefCell<Option<ServerReport>>,
    /// Whether an explanation is being made.
    pub(crate) is_explaining: Cell<bool>,
    /// Decides when requests leave the failure domain.
    pub(crate) locality: RefCell<LocalityPolicy>,
    pub(crate) hop_pool: HopPool,
    pub(crate) load_queries: LoadQueries,
    /// Allowances of customers, for the ingress and for the customers counted by this instance.
    pub(crate) allowances: RefCell<AllowanceExchange>,
    /// Wakes the requests that wait for a reply about an allowance.
    pub(crate) allowance_notify: Notify,
    /// True once shutdown has begun.
    pub(crate) stopping: watch::Sender<bool>,
    /// Address of the instance from which to pull configuration and peers next.
    pub(crate) pull_addr: RefCell<Option<SocketAddr>>,
    /// Wakes the task that pulls when `pull_addr` is set.
    pub(crate) pull_notify: Notify,
    /// Pipelined requests that have started early at this ingress.
    pub(crate) early_starts: RefCell<EarlyStarts>,
    /// Number of requests in flight at this ingress.
    pub(crate) in_flight: Cell<usize>,
    rng: RefCell<fescuemux_core::base::Rng>,
    next_ticket: Cell<Ticket>,
}

impl Node {
    /// Returns the initial state of the process.
    ///
    /// # Errors
    /// Fails if the socket for load queries cannot be bound or a metric cannot be registered.
    pub(crate) fn new(
        settings: NodeSettings,
        dialect: Rc<dyn Dialect>,
        clock: Arc<dyn Clock>,
    ) -> Result<Node> {
        let now = clock.now();
        let incarnation = unix_millis(&*clock);
        let mut admission = AdmissionController::new(now, settings.retry_limits);
        if settings.first_start {
            admission.on_first_start(now);
        }
        let mut cx = Cx::new(now, rand::random());
        let allowances = AllowanceExchange::new(
            &mut cx,
            settings.allowance_bounds,
            settings.instance.clone(),
            settings.first_start,
        );
        let load_queries = LoadQueries::bind(settings.listen.peers)?;
        let metrics = Metrics::new()?;
        let memory = Memory::new(settings.process_limits, clock.clone(), metrics.clone());
        Ok(Node {
            metrics,
            memory: Rc::new(memory),
            admission: RefCell::new(admission),
            admission_senders: RefCell::default(),
            eviction_senders: RefCell::default(),
            idle_server_connections: RefCell::default(),
            logged_as_suspected: Cell::new(false),
            running_requests: RefCell::default(),
            unfinished_parents: RefCell::new(UnfinishedParents::new(now, settings.first_start)),
            started_at: now,
            refuse_requests_from: Cell::new(None),
            shutdown_deadlines: Cell::new(None),
            frequent_callers: RefCell::default(),
            failed_requests: RefCell::default(),
            directory: RefCell::default(),
            listed_at: Cell::new(None),
            config: RefCell::default(),
            config_freshness: RefCell::new(ConfigFreshness::new(rand::random())),
            config_notify: Notify::new(),
            traffic_splitter: RefCell::default(),
            mean_response_kb: RefCell::default(),
            running_times: RefCell::default(),
            relayed_notices: RefCell::default(),
            own_departures: RefCell::new(OwnDepartures::new(now, settings.first_start)),
            held_departures: RefCell::default(),
            departures_changed: watch::Sender::new(()),
            deferred_report: RefCell::default(),
            is_explaining: Cell::new(false),
            locality: RefCell::default(),
            hop_pool: HopPool::default(),
            load_queries,
            allowances: RefCell::new(allowances),
            allowance_notify: Notify::new(),
            stopping: watch::Sender::new(false),
            pull_addr: RefCell::default(),
            pull_notify: Notify::new(),
            early_starts: RefCell::new(EarlyStarts::new(PipelineLimits::default())),
            in_flight: Cell::new(0),
            rng: RefCell::new(cx.rng),
            next_ticket: Cell::new(0),
            settings: RefCell::new(settings),
            dialect,
            clock,
            incarnation,
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Calls `f` with the current time and the random number generator of the process.
    pub(crate) fn with_cx<T>(&self, f: impl FnOnce(&mut Cx) -> T) -> T {
        let mut rng = self.rng.borrow_mut();
        let mut cx = Cx { now: self.now(), rng: rng.clone() };
        let result = f(&mut cx);
        *rng = cx.rng;
        result
    }

    /// Calls `f` and restores the random number generator and the traffic split, so that an
    /// explanation does not change later decisions.
    pub(crate) fn without_effects<T>(&self, f: impl FnOnce() -> T) -> T {
        let rng = self.rng.borrow().clone();
        let traffic_splitter = self.traffic_splitter.borrow().clone();
        let result = f();
        *self.rng.borrow_mut() = rng;
        *self.traffic_splitter.borrow_mut() = traffic_splitter;
        result
    }

    /// Returns whether a planned stop of this instance is under way or may just be over. Requests that
    /// were taken meanwhile are not broken off while their servers work on them. A process does not
    /// know whether an earlier one was stopped or killed before it started.
    pub(crate) fn is_near_planned_stop(&self) -> bool {
        let is_recent_start = || {
            let settings = self.settings.borrow();
            let since_start = self.now().saturating_duration_since(self.started_at);
            !settings.first_start && since_start < settings.grace + STOP_AFTERMATH
        };
        *self.stopping.borrow() || is_recent_start()
    }

    /// Counts a request of a customer in the metrics.
    pub(crate) fn record_caller_request(&self, account: &CallerAccount, outcome: &str) {
        let mut callers = self.frequent_callers.borrow_mut();
        self.metrics.record_caller_request(callers.label(&account.id), outcome);
    }

    /// Returns a new ticket, which identifies a request at the local guard.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.next_ticket.set(self.next_ticket.get() + 1);
        self.next_ticket.get()
    }

    /// Returns this process as other instances see it.
    pub(crate) fn own_peer(&self) -> Peer {
        let settings = self.settings.borrow();
        Peer {
            id: settings.instance.clone(),
            addr: settings.listen.peers,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the version of the current configuration, or zero without one.
    pub(crate) fn config_version(&self) -> Generation {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Installs a configuration if it is newer than the current one. `source` is logged.
    pub(crate) fn install_config(&self, config: FleetConfig, source: &str) {
        let installed_version = self.config_version();
        if config.version <= installed_version {
            return;
        }
        info!(
            event = "config_installed",
            version = config.version,
            previous = installed_version,
            source,
            routes = config.routes.len(),
            customers = config.caller_keys.as_ref().map_or(0, CallerKeys::customer_count),
            keys = config.caller_keys.as_ref().map_or(0, CallerKeys::key_count)
        );
        self.metrics.config_version.set(config.version as i64);
        // Drop the state of removed routes, as hundreds may be added and removed in a day.
        self.traffic_splitter.borrow_mut().retain(|id| config.routes.contains(id));
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.config_freshness.borrow_mut().on_up_to_date();
        self.config_notify.notify_one();
    }

    /// Records that another instance has the configuration `version`, and requests a pull from `addr`
    /// if that version is newer.
    pub(crate) fn on_peer_version(&self, addr: SocketAddr, version: Generation) {
        if version > self.config_version() {
            self.config_freshness.borrow_mut().on_newer_version(self.now());
            self.request_pull(addr);
        }
    }

    /// Returns the age of the confirmation that the configuration is the latest, or `None` without
    /// one.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.config_freshness.borrow().age(self.now())
    }

    /// Returns the role of this instance in reading the configuration for its failure domain.
    pub(crate) fn config_role(&self) -> ConfigRole {
        let settings = self.settings.borrow();
        self.directory.borrow().config_role(&settings.instance, &settings.domain)
    }

    /// Adds or updates an instance in the directory. `source` is logged.
    pub(crate) fn add_peer(&self, peer: Peer, source: &str) {
        let id = peer.id.clone();
        let mut directory = self.directory.borrow_mut();
        if directory.insert(self.now(), peer) {
            info!(event = "peer_learned", peer = %id, source);
        }
        self.metrics.peers.set(directory.len() as i64);
    }

    /// Applies what the local backend server said about itself in a response to a request that was
    /// sent to it when `report` was its latest report.
    pub(crate) fn on_server_notice(&self, report: &ServerReport, notice: ServerNotice) {
        let change = self.admission.borrow_mut().on_notice(
            self.now(),
            &report.id,
            report.incarnation,
            notice,
        );
        self.on_notice_change(change, "server");
    }

    /// Applies what an ingress has relayed of the local backend server.
    pub(crate) fn on_relayed_notice(&self, notice: &RelayedNotice) {
        let change = self.admission.borrow_mut().on_relayed_notice(self.now(), notice);
        self.on_notice_change(change, "instance");
    }

    fn on_notice_change(&self, change: NoticeChange, source: &str) {
        if change == NoticeChange::default() {
            return;
        }
        let server = self.admission.borrow().server().map(|server| {
            let LocalServer { report, .. } = server;
            (report.id.clone(), report.incarnation, server.limit())
        });
        let Some((server, incarnation, limit)) = server else { return };
        if change.limit {
            info!(event = "server_limit", %server, limit, source);
        }
        if change.leaving {
            info!(event = "server_leaving", %server, source);
            self.record_departure(Departure { server, incarnation });
            self.advance_admission();
        }
    }

    /// Records a departure that a server announces, in the store and at other instances.
    pub(crate) fn record_departure(&self, departure: Departure) {
        if self.own_departures.borrow_mut().add(self.now(), departure) {
            self.departures_changed.send_replace(());
        }
    }

    /// Returns whether the departures that earlier processes of the instance acknowledged are known.
    pub(crate) fn knows_departures(&self) -> bool {
        self.own_departures.borrow().is_complete(self.directory.borrow().len())
    }

    /// Returns whether all recorded departures outlast this process.
    pub(crate) fn departures_are_durable(&self) -> bool {
        self.own_departures.borrow().is_durable()
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    pub(crate) fn unix_millis(&self) -> Incarnation {
        unix_millis(&*self.clock)
    }

    /// Requests a pull from the instance at `addr`, which may have a newer configuration or know
    /// more instances than this process.
    pub(crate) fn request_pull(&self, addr: SocketAddr) {
        *self.pull_addr.borrow_mut() = Some(addr);
        self.pull_notify.notify_one();
    }

    /// Advances the admission controller to the current time, and notifies requests that were
    /// evicted, granted or refused.
    pub(crate) fn advance_admission(&self) {
        let evicted = self.admission.borrow_mut().evict(self.now());
        for ticket in evicted {
            if let Some(tx) = self.eviction_senders.borrow_mut().remove(&ticket) {
                // The send fails if the request has just ended, which frees the slot as well.
                let _ = tx.send(());
            }
        }
        let decisions = self.admission.borrow_mut().advance(self.now());
        for (ticket, admission) in decisions {
            let sender = self.admission_senders.borrow_mut().remove(&ticket);
            let delivered = sender.is_some_and(|tx| tx.send(admission).is_ok());
            if !delivered {
                self.admission.borrow_mut().cancel(self.now(), ticket);
            }
        }
    }
}

fn unix_millis(clock: &dyn Clock) -> Incarnation {
    let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as Incarnation
}
