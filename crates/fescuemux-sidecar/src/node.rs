//! State that the tasks of a process share.

use crate::h1::Connection;
use crate::hop::HopPool;
use crate::load_query::LoadQueries;
use crate::metrics::Metrics;
use crate::{Dialect, FleetConfig, NodeSettings};
use anyhow::Result;
use fescuemux_core::base::{Clock, Cx, Generation, HashMap, Incarnation};
use fescuemux_core::placement::{
    Admission, AdmissionController, FailedRequests, Peer, PeerDirectory, RunningTimes,
    ShutdownDeadlines, Ticket, TrafficSplitter,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot, watch};
use tracing::info;

/// A request that the own server runs.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: String,
    /// Whether it counts as a repeat.
    pub(crate) is_retry: bool,
}

/// Shared state of one process, used by tasks of one thread.
pub(crate) struct Node {
    pub(crate) settings: RefCell<NodeSettings>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) gate: RefCell<AdmissionController>,
    /// Where requests that wait at the gate learn of the decision.
    pub(crate) admission_waiters: RefCell<HashMap<Ticket, oneshot::Sender<Admission>>>,
    /// Where requests that run learn that they lost their slot.
    pub(crate) eviction_senders: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
    /// Idle connections to the own backend server, the most recent last.
    pub(crate) idle_server_connections: RefCell<Vec<(SocketAddr, Connection)>>,
    /// Whether the own server was doubted when that was logged last.
    pub(crate) server_suspected: Cell<bool>,
    /// Requests that the own server runs.
    pub(crate) running_requests: RefCell<Vec<RunningRequest>>,
    /// Start of the process.
    pub(crate) started: Instant,
    /// Time from which requests that come are refused, as they could outlast the process.
    pub(crate) refuse_requests_from: Cell<Option<Instant>>,
    /// Times of the stop, once the process was told to stop.
    pub(crate) stop_times: Cell<Option<ShutdownDeadlines>>,
    /// Requests that failed here a moment ago, calls of the own server among them.
    pub(crate) failed_calls: RefCell<FailedRequests>,
    pub(crate) directory: RefCell<PeerDirectory>,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    pub(crate) splitter: RefCell<TrafficSplitter>,
    /// Mean size of the answers of a route, in kilobytes.
    pub(crate) mean_response_kb: RefCell<HashMap<u64, f64>>,
    /// Running times of answered attempts.
    pub(crate) running: RefCell<RunningTimes>,
    pub(crate) hop_pool: HopPool,
    pub(crate) load_queries: LoadQueries,
    /// True once the process stops.
    pub(crate) stopping: watch::Sender<bool>,
    /// Wakes the task that fetches what another instance knows, with its address.
    pub(crate) pull_addr: RefCell<Option<SocketAddr>>,
    pub(crate) pull_notify: Notify,
    pub(crate) in_flight: Cell<usize>,
    rng: RefCell<fescuemux_core::base::Rng>,
    next_ticket: Cell<Ticket>,
}

impl Node {
    /// Returns the state of a process that starts now.
    ///
    /// # Errors
    /// Fails when the socket for questions cannot be bound.
    pub(crate) fn new(
        settings: NodeSettings,
        dialect: Rc<dyn Dialect>,
        clock: Arc<dyn Clock>,
    ) -> Result<Node> {
        let now = clock.now();
        let incarnation = time_of_day(&*clock);
        let load_queries = LoadQueries::bind(settings.listen.peers)?;
        Ok(Node {
            metrics: Metrics::new()?,
            gate: RefCell::new(AdmissionController::new(now, settings.retry_limits)),
            admission_waiters: RefCell::default(),
            eviction_senders: RefCell::default(),
            idle_server_connections: RefCell::default(),
            server_suspected: Cell::new(false),
            running_requests: RefCell::default(),
            started: now,
            refuse_requests_from: Cell::new(None),
            stop_times: Cell::new(None),
            failed_calls: RefCell::default(),
            directory: RefCell::default(),
            config: RefCell::default(),
            splitter: RefCell::default(),
            mean_response_kb: RefCell::default(),
            running: RefCell::default(),
            hop_pool: HopPool::default(),
            load_queries,
            stopping: watch::Sender::new(false),
            pull_addr: RefCell::default(),
            pull_notify: Notify::new(),
            in_flight: Cell::new(0),
            rng: RefCell::new(Cx::new(now, rand::random()).rng),
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

    /// Runs a decision with the current time and the process's generator.
    pub(crate) fn with_cx<T>(&self, decision: impl FnOnce(&mut Cx) -> T) -> T {
        let mut rng = self.rng.borrow_mut();
        let mut cx = Cx { now: self.now(), rng: rng.clone() };
        let result = decision(&mut cx);
        *rng = cx.rng;
        result
    }

    /// Returns a number for a request at the own gate.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.next_ticket.set(self.next_ticket.get() + 1);
        self.next_ticket.get()
    }

    /// Returns the entry of this process for other instances.
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

    /// Returns the version of the configuration in force; zero stands for none.
    pub(crate) fn config_version(&self) -> Generation {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Puts a configuration in force unless it is not newer than the current one.
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
            routes = config.routes.len()
        );
        self.metrics.config_version.set(config.version as i64);
        // Hundreds of routes may come and go in a day.
        self.splitter.borrow_mut().retain(|id| config.routes.contains(id));
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Adds an instance to the directory.
    pub(crate) fn add_peer(&self, peer: Peer, source: &str) {
        let id = peer.id.clone();
        let mut directory = self.directory.borrow_mut();
        if directory.insert(self.now(), peer) {
            info!(event = "peer_learned", peer = %id, source);
        }
        self.metrics.peers.set(directory.len() as i64);
    }

    /// Returns the time of day in milliseconds since 1970.
    pub(crate) fn time_of_day(&self) -> Incarnation {
        time_of_day(&*self.clock)
    }

    /// Asks for what the instance at `addr` knows, when it knows more.
    pub(crate) fn request_pull(&self, addr: SocketAddr) {
        *self.pull_addr.borrow_mut() = Some(addr);
        self.pull_notify.notify_one();
    }

    /// Tells waiting requests what the gate decides as time passes or slots become free.
    pub(crate) fn advance_gate(&self) {
        let evicted = self.gate.borrow_mut().evict(self.now());
        for ticket in evicted {
            if let Some(tx) = self.eviction_senders.borrow_mut().remove(&ticket) {
                // A request that has just ended needs no eviction.
                let _ = tx.send(());
            }
        }
        let decided = self.gate.borrow_mut().advance(self.now());
        for (ticket, admission) in decided {
            let admission_waiters = self.admission_waiters.borrow_mut().remove(&ticket);
            let told = admission_waiters.is_some_and(|tx| tx.send(admission).is_ok());
            if !told {
                self.gate.borrow_mut().cancel(ticket);
            }
        }
    }
}

fn time_of_day(clock: &dyn Clock) -> Incarnation {
    let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as Incarnation
}
