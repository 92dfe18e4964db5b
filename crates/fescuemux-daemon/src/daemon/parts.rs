//! Construction of the components of a daemon, before any of them runs.

use super::bound::BoundSockets;
use crate::clock::SystemClock;
use crate::config_sync::{ConfigContext, ConfigEvent, ConfigState};
use crate::decisions::SharedState;
use crate::demand::DemandReporter;
use crate::guard::{Guard, GuardContext, GuardEvent};
use crate::homes::KeyHomes;
use crate::http::{HttpLimits, Pool};
use crate::ingress::{Ingress, IngressContext, PeerDirectory};
use crate::metrics::Metrics;
use crate::operators::{OperatorContext, SetLogLevel};
use crate::peers::{MembershipContext, MembershipDriver, PeerClients};
use crate::stop::StopSignal;
use anyhow::Context;
use fescuemux_core::base::{Clock, Incarnation, InstanceId};
use fescuemux_core::member::{MemberConfig, Membership};
use fescuemux_core::route::RouterConfig;
use fescuemux_settings::Settings;
use fescuemux_store::{CallKind, HttpStore, HttpStoreSettings, config_store::ConfigStore};
use fescuemux_wire::auth::KeyRing;
use rand::RngCore;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

/// Timeout for connecting to a guard: ten times the round trip between failure domains, including a
/// retransmission.
const HOP_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for connecting to a backend server over loopback.
const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of client connections, well below the idle timeout of the servers, so that a
/// connection is not reused while its server closes it.
pub(super) const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Components of a daemon.
pub(super) struct Components {
    pub(super) local_instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) keys: KeyRing,
    pub(super) limits: HttpLimits,
    pub(super) metrics: Arc<Metrics>,
    pub(super) stop: StopSignal,
    pub(super) clients: Arc<PeerClients>,
    pub(super) directory: Arc<PeerDirectory>,
    pub(super) hop_pool: Arc<Pool>,
    pub(super) homes: Arc<KeyHomes>,
    pub(super) guard: Arc<Guard>,
    pub(super) ingress: Arc<Ingress>,
    pub(super) members: Arc<MembershipDriver>,
    pub(super) config_state: Arc<ConfigState>,
    pub(super) demand: Arc<DemandReporter>,
}

/// Receivers of events between components.
pub(super) struct EventReceivers {
    pub(super) guard_events: flume::Receiver<GuardEvent>,
    pub(super) config_events: flume::Receiver<ConfigEvent>,
}

impl Components {
    pub(super) fn build(
        settings: &Settings,
        sockets: &BoundSockets,
        stop: StopSignal,
    ) -> anyhow::Result<(Components, EventReceivers)> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let keys = settings.cluster_keys.iter().map(|key| *key.as_bytes()).collect();
        let keys = KeyRing::new(keys).context("no cluster key is set")?;
        let metrics = Arc::new(Metrics::new()?);
        let incarnation = incarnation(&*clock);
        let seed = rand::rng().next_u64();
        let local_instance = settings.instance.clone();
        let http_limits = http_limits(settings);
        let clients = PeerClients::new(keys.clone());
        let directory = Arc::new(PeerDirectory::default());
        let homes = KeyHomes::new(
            local_instance.clone(),
            Arc::clone(&clock),
            Arc::clone(&directory),
            Arc::clone(&clients),
        );
        let (guard_tx, guard_events) = flume::unbounded();
        let guard_context = GuardContext {
            clock: Arc::clone(&clock),
            keys: keys.clone(),
            incarnation,
            limits: http_limits,
            max_queue_len: settings.limits.max_queue_len,
            metrics: Arc::clone(&metrics),
            events: guard_tx,
            stop: stop.clone(),
        };
        let guard = Guard::new(guard_context, Pool::new(LOCAL_CONNECT_TIMEOUT, POOL_IDLE_TIMEOUT));
        let ingress_context = IngressContext {
            clock: Arc::clone(&clock),
            keys: keys.clone(),
            limits: http_limits,
            max_in_flight: settings.limits.max_in_flight,
            metrics: Arc::clone(&metrics),
            stop: stop.clone(),
            seed,
        };
        let hop_pool = Pool::new(HOP_CONNECT_TIMEOUT, POOL_IDLE_TIMEOUT);
        let ingress = Ingress::new(
            ingress_context,
            RouterConfig::new(
                local_instance.clone(),
                settings.domain.clone(),
                settings.region.clone(),
            ),
            Arc::clone(&hop_pool),
            Arc::clone(&homes),
            Arc::clone(&directory),
        );
        let (config_tx, config_events) = flume::unbounded();
        let members_context = MembershipContext {
            clients: Arc::clone(&clients),
            ingress: Arc::clone(&ingress),
            guard: Arc::clone(&guard),
            metrics: Arc::clone(&metrics),
            config_events: config_tx,
        };
        let record = sockets.record(settings, incarnation);
        let membership = Membership::new(MemberConfig::default(), record, clock.now());
        let membership = SharedState::new(Arc::clone(&clock), seed.wrapping_add(7), membership);
        let members = MembershipDriver::new(members_context, membership);
        let config_state = ConfigState::new(ConfigContext {
            ingress: Arc::clone(&ingress),
            guard: Arc::clone(&guard),
            metrics: Arc::clone(&metrics),
        });
        let demand =
            DemandReporter::new(local_instance.clone(), Arc::clone(&clock), Arc::clone(&clients));
        let components = Components {
            local_instance,
            incarnation,
            clock,
            keys,
            limits: http_limits,
            metrics,
            stop,
            clients,
            directory,
            hop_pool,
            homes,
            guard,
            ingress,
            members,
            config_state,
            demand,
        };
        Ok((components, EventReceivers { guard_events, config_events }))
    }

    /// Returns a store client that counts its calls in the metrics.
    pub(super) fn store(&self, settings: &Settings) -> anyhow::Result<HttpStore> {
        let mut store_settings = HttpStoreSettings::new(settings.store.addresses.clone());
        store_settings.connect_timeout = settings.store.timeout;
        store_settings.call_timeout = settings.store.timeout;
        let metrics = Arc::clone(&self.metrics);
        let count_call = move |kind| {
            metrics.count_store_call(match kind {
                CallKind::Read => "read",
                CallKind::Write => "write",
            });
        };
        Ok(HttpStore::new(store_settings)?.with_call_hook(Arc::new(count_call)))
    }

    pub(super) fn operator_context(
        &self,
        settings: &Settings,
        set_log_level: SetLogLevel,
    ) -> anyhow::Result<OperatorContext> {
        Ok(OperatorContext {
            instance: self.local_instance.clone(),
            operators: settings.operators.clone(),
            clock: Arc::clone(&self.clock),
            metrics: Arc::clone(&self.metrics),
            store: ConfigStore::new(self.store(settings)?),
            config_state: Arc::clone(&self.config_state),
            members: Arc::clone(&self.members),
            guard: Arc::clone(&self.guard),
            ingress: Arc::clone(&self.ingress),
            homes: Arc::clone(&self.homes),
            stop: self.stop.clone(),
            set_log_level,
        })
    }
}

fn http_limits(settings: &Settings) -> HttpLimits {
    let limits = &settings.limits;
    HttpLimits {
        max_head_bytes: limits.max_head_bytes,
        max_headers: limits.max_headers,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
        max_replay_bytes: limits.max_replay_bytes as u64,
        max_connections: limits.max_caller_connections,
    }
}

/// Returns the incarnation of this process: its start time in milliseconds since the Unix epoch.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Incarnation
}
