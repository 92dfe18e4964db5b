//! A running daemon: all parts wired together.

mod addresses;
mod report;
mod threads;

pub use addresses::Addresses;
pub use report::StopReport;

use self::threads::Threads;
use crate::clock::SystemClock;
use crate::config_sync::{ConfigContext, ConfigState, pull_from_peers, watch_store};
use crate::decisions::Decisions;
use crate::demand::Demand;
use crate::guard::{Guard, GuardContext, GuardEvent, serve_announcements};
use crate::homes::{Homes, RosterKeeper};
use crate::http::{HttpLimits, Listener, Pool, ServeOptions};
use crate::ingress::{Directory, Ingress, IngressContext};
use crate::ledger::{LedgerKeeper, LedgerTask};
use crate::metrics::Metrics;
use crate::operators::{OperatorContext, SetLogLevel, serve_operators};
use crate::peers::{Members, MembersContext, PeerClients, PeerServer, serve_peers};
use crate::seeds::keep_seeds;
use crate::stop::{StopControl, StopPhase, StopSignal, stop_channel};
use anyhow::Context;
use fescuemux_core::base::{Clock, Incarnation, InstanceId};
use fescuemux_core::member::{
    Addresses as MemberAddresses, InstanceRecord, MemberConfig, MemberState, Membership,
};
use fescuemux_core::route::RouterConfig;
use fescuemux_settings::Settings;
use fescuemux_store::{CallKind, HttpStore, HttpStoreSettings, config_store::ConfigStore};
use fescuemux_wire::auth::KeyRing;
use rand::RngCore;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Worker threads of a daemon. The target is about 90 requests/s a node, far below one core.
const WORKERS: usize = 2;
/// Longest time to connect to a guard: ten times the round trip between failure domains with a
/// retransmission.
const HOP_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time to connect to a backend server over loopback.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of client connections, well below that of the servers, so that a connection is not
/// reused while its server closes it.
const POOL_IDLE: Duration = Duration::from_secs(15);
/// Idle time after which a guard closes the connection of an ingress.
const HOP_IDLE: Duration = Duration::from_secs(90);
/// Most connections of ingresses: one each at the target, with room for bursts.
const HOP_CONNECTIONS: usize = 4_096;
/// Time for callers and peers to hear of a planned stop before new work is refused. Messages to
/// three members at once and gossip reach the fleet within a second.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which the guard takes the baselines of the own ingress.
const BASELINE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a stop looks for work under way.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct Daemon {
    runtime: Option<Runtime>,
    stop: StopControl,
    /// Stops the listener for other daemons, after all work has ended.
    stop_peers: StopControl,
    addresses: Addresses,
    ingress: Arc<Ingress>,
    guard: Arc<Guard>,
    members: Arc<Members>,
    metrics: Arc<Metrics>,
    state: Arc<ConfigState>,
    threads: Threads,
    grace: Duration,
}

impl Daemon {
    /// Starts a daemon. `set_log_level` changes the log level at run time.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or a setting cannot be put to use.
    pub fn start(settings: &Settings, set_log_level: SetLogLevel) -> anyhow::Result<Daemon> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name("fescuemuxd")
            .enable_all()
            .build()
            .context("cannot start the runtime")?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let (stop, signal) = stop_channel();
        let (stop_peers, peers_signal) = stop_channel();
        let bound = runtime.block_on(Bound::bind(settings))?;
        let keys = settings.cluster_keys.iter().map(|key| *key.as_bytes()).collect();
        let keys = KeyRing::new(keys).context("no cluster key is set")?;
        let metrics = Arc::new(Metrics::new()?);
        let incarnation = incarnation(&*clock);
        let seed = rand::rng().next_u64();
        let own = InstanceId::from(settings.instance.clone());
        let limits = limits(settings);

        let clients = PeerClients::new(keys.clone());
        let directory = Arc::new(Directory::default());
        let homes = Homes::new(
            own.clone(),
            Arc::clone(&clock),
            Arc::clone(&directory),
            Arc::clone(&clients),
        );
        let (guard_tx, guard_rx) = flume::unbounded();
        let guard_context = GuardContext {
            clock: Arc::clone(&clock),
            keys: keys.clone(),
            incarnation,
            limits,
            queue: settings.limits.queue,
            metrics: Arc::clone(&metrics),
            events: guard_tx,
            stop: signal.clone(),
        };
        let guard = Guard::new(guard_context, Pool::new(LOCAL_CONNECT_TIMEOUT, POOL_IDLE));
        let ingress_context = IngressContext {
            clock: Arc::clone(&clock),
            keys: keys.clone(),
            limits,
            in_flight: settings.limits.in_flight,
            metrics: Arc::clone(&metrics),
            stop: signal.clone(),
            seed,
        };
        let router =
            RouterConfig::new(own.clone(), settings.domain.clone(), settings.region.clone());
        let hop_pool = Pool::new(HOP_CONNECT_TIMEOUT, POOL_IDLE);
        let ingress = Ingress::new(
            ingress_context,
            router,
            Arc::clone(&hop_pool),
            Arc::clone(&homes),
            Arc::clone(&directory),
        );
        let (config_tx, config_rx) = flume::unbounded();
        let record = bound.record(settings, incarnation);
        let membership = Membership::new(MemberConfig::default(), record, clock.now());
        let members_context = MembersContext {
            clients: Arc::clone(&clients),
            ingress: Arc::clone(&ingress),
            guard: Arc::clone(&guard),
            metrics: Arc::clone(&metrics),
            config: config_tx,
        };
        let members = Members::new(
            members_context,
            Decisions::new(Arc::clone(&clock), seed.wrapping_add(7), membership),
        );
        let state = ConfigState::new(ConfigContext {
            ingress: Arc::clone(&ingress),
            guard: Arc::clone(&guard),
            metrics: Arc::clone(&metrics),
        });
        let demand = Demand::new(own.clone(), Arc::clone(&clock), Arc::clone(&clients));
        let store = || store(settings, &metrics);

        let mut threads = Threads::default();
        let operators = Arc::new(OperatorContext {
            instance: own.clone(),
            operators: settings.operators.clone(),
            clock: Arc::clone(&clock),
            metrics: Arc::clone(&metrics),
            store: ConfigStore::new(store()?),
            state: Arc::clone(&state),
            members: Arc::clone(&members),
            guard: Arc::clone(&guard),
            ingress: Arc::clone(&ingress),
            homes: Arc::clone(&homes),
            stop: signal.clone(),
            set_log_level,
        });
        let operator_server = serve_operators(settings.listen.operators, operators)?;
        let announcements = serve_announcements(settings.listen.local, Arc::clone(&guard))?;
        let addresses = Addresses {
            callers: bound.callers.local_addr()?,
            hop: bound.hop.local_addr()?,
            rpc: bound.rpc.local_addr()?,
            local: announcements.server_addr(),
            operators: operator_server.server_addr(),
        };
        threads.poll("operators", peers_signal.clone(), move |wait| {
            operator_server.poll_timeout(wait);
        })?;
        threads.poll("announcements", peers_signal.clone(), move |wait| {
            announcements.poll_timeout(wait);
        })?;

        let (ledger_tx, ledger_rx) = flume::unbounded();
        let keeper = LedgerKeeper {
            store: store()?,
            guard: Arc::clone(&guard),
            ingress: Arc::clone(&ingress),
            members: Arc::clone(&members),
            incarnation,
        };
        let ledger_signal = signal.clone();
        threads.spawn("ledger", move || keeper.run(&ledger_rx, &ledger_signal))?;
        let roster = RosterKeeper {
            store: store()?,
            homes: Arc::clone(&homes),
            members: Arc::clone(&members),
            own,
            runtime: runtime.handle().clone(),
        };
        let roster_signal = signal.clone();
        threads.spawn("roster", move || roster.run(&roster_signal))?;

        let entered = runtime.enter();
        let hop_limits =
            HttpLimits { head_timeout: HOP_IDLE, connections: HOP_CONNECTIONS, ..limits };
        let hop_options = ServeOptions { limits: hop_limits, name: "hop" };
        let hop_guard = Arc::clone(&guard);
        tokio::spawn(bound.hop.serve(hop_options, peers_signal.clone(), move |req| {
            Arc::clone(&hop_guard).handle(req)
        }));
        let peer_server = PeerServer {
            members: Arc::clone(&members),
            config: Arc::clone(&state),
            homes,
            demand: Arc::clone(&demand),
        };
        tokio::spawn(demand.run(
            Arc::clone(&ingress),
            Arc::clone(&members),
            Arc::clone(&directory),
        ));
        tokio::spawn(serve_peers(bound.rpc, keys, peer_server, peers_signal));
        tokio::spawn(Arc::clone(&members).run());
        tokio::spawn(handle_guard_events(guard_rx, Arc::clone(&members), ledger_tx));
        tokio::spawn(pull_from_peers(
            config_rx,
            Arc::clone(&state),
            Arc::clone(&members),
            directory,
            clients,
        ));
        tokio::spawn(expire_connections(hop_pool));
        tokio::spawn(Arc::clone(&ingress).probe_paths());
        tokio::spawn(Arc::clone(&guard).probe_health());
        tokio::spawn(feed_baselines(Arc::clone(&guard), Arc::clone(&ingress)));
        members.join(settings.seeds.clone());
        members.publish();
        let seeds = StoreThread {
            store: store()?,
            members: Arc::clone(&members),
            domain: settings.domain.clone(),
            signal: signal.clone(),
        };
        let handle = runtime.handle().clone();
        threads.spawn("seeds", move || {
            let _entered = handle.enter();
            keep_seeds(&seeds.store, &seeds.members, &seeds.domain, &seeds.signal);
        })?;
        let watch = WatchThread {
            store: ConfigStore::new(store()?),
            state: Arc::clone(&state),
            members: Arc::clone(&members),
            domain: settings.domain.clone(),
            signal: signal.clone(),
        };
        let handle = runtime.handle().clone();
        threads.spawn("config", move || {
            let _entered = handle.enter();
            watch_store(&watch.store, &watch.state, &watch.members, &watch.domain, &watch.signal);
        })?;
        let caller_ingress = Arc::clone(&ingress);
        let caller_options = ServeOptions { limits, name: "callers" };
        tokio::spawn(
            bound
                .callers
                .serve(caller_options, signal, move |req| Arc::clone(&caller_ingress).handle(req)),
        );
        drop(entered);
        tracing::info!(instance = %settings.instance, ?addresses, incarnation, "daemon started");
        Ok(Daemon {
            runtime: Some(runtime),
            stop,
            stop_peers,
            addresses,
            ingress,
            guard,
            members,
            metrics,
            state,
            threads,
            grace: settings.stop.grace,
        })
    }

    /// Returns the addresses that are bound.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the generation of the configuration in force, zero without one.
    pub fn generation(&self) -> u64 {
        self.state.generation()
    }

    /// Stops gracefully: peers and callers are asked to go elsewhere, then new work is refused,
    /// then work under way is finished within the grace time of the settings. `hurry` may cut the
    /// wait short; it is asked regularly.
    pub fn stop(mut self, hurry: impl Fn() -> bool) -> StopReport {
        tracing::info!("stopping");
        let runtime = self.runtime.take();
        let entered = runtime.as_ref().map(Runtime::enter);
        self.stop.advance(StopPhase::Leaving);
        self.members.leave();
        wait_until(LEAVE_TIME, &hurry);
        self.stop.advance(StopPhase::Closing);
        wait_until(self.grace, || self.under_way() == 0 || hurry());
        let report = StopReport { cut: self.under_way() };
        if report.cut > 0 {
            tracing::warn!(cut = report.cut, "requests were cut");
        }
        self.stop.advance(StopPhase::Cut);
        self.stop_peers.advance(StopPhase::Cut);
        drop(entered);
        if let Some(runtime) = runtime {
            runtime.shutdown_timeout(Duration::from_millis(200));
        }
        self.threads.join();
        tracing::info!(cut = report.cut, "stopped");
        report
    }

    /// Ends at once without telling anybody, as a crash does. For tests of failures.
    pub fn abort(mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.stop.advance(StopPhase::Cut);
        self.stop_peers.advance(StopPhase::Cut);
    }

    fn under_way(&self) -> u32 {
        let callers = u32::try_from(self.metrics.in_flight.get()).unwrap_or(0);
        callers.max(self.guard.in_flight()).max(self.ingress.under_way())
    }
}

struct StoreThread {
    store: HttpStore,
    members: Arc<Members>,
    domain: fescuemux_core::base::DomainId,
    signal: StopSignal,
}

struct WatchThread {
    store: ConfigStore<HttpStore>,
    state: Arc<ConfigState>,
    members: Arc<Members>,
    domain: fescuemux_core::base::DomainId,
    signal: StopSignal,
}

/// Sockets bound before anything starts, so that a daemon whose address is taken does nothing.
struct Bound {
    callers: Listener,
    hop: Listener,
    rpc: TcpListener,
}

impl Bound {
    async fn bind(settings: &Settings) -> anyhow::Result<Bound> {
        let listen = &settings.listen;
        let callers = Listener::bind(listen.callers).await;
        let hop = Listener::bind(listen.hop).await;
        let rpc = TcpListener::bind(listen.rpc).await;
        Ok(Bound {
            callers: callers
                .with_context(|| format!("cannot bind `callers` {}", listen.callers))?,
            hop: hop.with_context(|| format!("cannot bind `hop` {}", listen.hop))?,
            rpc: rpc.with_context(|| format!("cannot bind `rpc` {}", listen.rpc))?,
        })
    }

    /// Returns the own record. A port of zero in the settings stands for the one bound.
    fn record(&self, settings: &Settings, incarnation: Incarnation) -> InstanceRecord {
        let mut hop = settings.advertise.hop;
        if let (0, Ok(bound)) = (hop.port(), self.hop.local_addr()) {
            hop.set_port(bound.port());
        }
        let mut rpc = settings.advertise.rpc;
        if let (0, Ok(bound)) = (rpc.port(), self.rpc.local_addr()) {
            rpc.set_port(bound.port());
        }
        InstanceRecord {
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation,
            version: 1,
            refutation: 0,
            addresses: MemberAddresses { rpc, hop },
            state: MemberState::Alive,
            servers: Vec::new(),
            generation: 0,
        }
    }
}

async fn handle_guard_events(
    events: flume::Receiver<GuardEvent>,
    members: Arc<Members>,
    ledger: flume::Sender<LedgerTask>,
) {
    while let Ok(event) = events.recv_async().await {
        let task = match event {
            GuardEvent::ServersChanged => {
                members.publish();
                continue;
            }
            GuardEvent::RequestPermit { service, server } => {
                LedgerTask { service, server, enter: true }
            }
            GuardEvent::ReleasePermit { service, server } => {
                LedgerTask { service, server, enter: false }
            }
        };
        let _ = ledger.send(task);
    }
}

async fn feed_baselines(guard: Arc<Guard>, ingress: Arc<Ingress>) {
    loop {
        tokio::time::sleep(BASELINE_INTERVAL).await;
        guard.on_baselines(|service| ingress.baseline(service));
    }
}

async fn expire_connections(pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(POOL_IDLE).await;
        pool.close_expired();
    }
}

fn limits(settings: &Settings) -> HttpLimits {
    let limits = &settings.limits;
    HttpLimits {
        head_bytes: limits.head_bytes,
        headers: limits.headers,
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
        replay_bytes: limits.replay_bytes as u64,
        connections: limits.caller_connections,
    }
}

fn store(settings: &Settings, metrics: &Arc<Metrics>) -> anyhow::Result<HttpStore> {
    let mut http = HttpStoreSettings::new(settings.store.addresses.clone());
    http.connect_timeout = settings.store.timeout;
    http.call_timeout = settings.store.timeout;
    let metrics = Arc::clone(metrics);
    let hook = move |kind| {
        metrics.store_call(match kind {
            CallKind::Read => "read",
            CallKind::Write => "write",
        });
    };
    Ok(HttpStore::new(http)?.with_hook(Arc::new(hook)))
}

/// Returns the start time in milliseconds since 1970.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Incarnation
}

fn wait_until(limit: Duration, done: impl Fn() -> bool) {
    let started = Instant::now();
    while started.elapsed() < limit && !done() {
        std::thread::sleep(STOP_POLL);
    }
}
