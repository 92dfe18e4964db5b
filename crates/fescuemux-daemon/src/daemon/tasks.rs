//! Asynchronous tasks of a daemon.

use super::bound::BoundSockets;
use super::parts::{Components, POOL_IDLE_TIMEOUT};
use crate::config_sync::{ConfigEvent, pull_from_peers};
use crate::guard::{Guard, GuardEvent, handle_announcement};
use crate::http::{HttpLimits, Pool, ServeOptions};
use crate::ingress::Ingress;
use crate::ledger::LedgerRequest;
use crate::peers::{MembershipDriver, PeerServer, serve_peers};
use crate::stop::StopSignal;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a guard closes a connection of an ingress. Set as `head_timeout`, because
/// that limit includes the idle time before a request head.
const HOP_IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of connections of ingresses to a guard: one for each instance of the target
/// deployment, with room for bursts.
const MAX_HOP_CONNECTIONS: usize = 4_096;
/// Interval at which the guard receives the baselines of this instance's ingress.
const BASELINE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the servers for callers, for ingresses, for remote procedure calls and for announcements.
pub(super) fn spawn_servers(
    components: &Components,
    sockets: BoundSockets,
    peers_stop: StopSignal,
) {
    let limits = components.limits;
    let hop_limits = HttpLimits {
        head_timeout: HOP_IDLE_TIMEOUT,
        max_connections: MAX_HOP_CONNECTIONS,
        ..limits
    };
    let hop_options = ServeOptions { limits: hop_limits, name: "hop" };
    let guard = Arc::clone(&components.guard);
    let hop = sockets.hop;
    tokio::spawn(
        hop.serve(hop_options, peers_stop.clone(), move |req| Arc::clone(&guard).handle(req)),
    );
    let server = PeerServer {
        members: Arc::clone(&components.members),
        config: Arc::clone(&components.config_state),
        homes: Arc::clone(&components.homes),
        demand: Arc::clone(&components.demand),
    };
    tokio::spawn(serve_peers(sockets.rpc, components.keys.clone(), server, peers_stop.clone()));
    let guard = Arc::clone(&components.guard);
    let local_options = ServeOptions { limits, name: "local" };
    tokio::spawn(
        sockets.local.serve(local_options, peers_stop, move |req| {
            handle_announcement(Arc::clone(&guard), req)
        }),
    );
    let ingress = Arc::clone(&components.ingress);
    let caller_options = ServeOptions { limits, name: "callers" };
    let callers = sockets.callers;
    tokio::spawn(callers.serve(caller_options, components.stop.clone(), move |req| {
        Arc::clone(&ingress).handle(req)
    }));
}

/// Starts the background tasks of the components.
pub(super) fn spawn_background_tasks(
    components: &Components,
    guard_events: flume::Receiver<GuardEvent>,
    config_events: flume::Receiver<ConfigEvent>,
    ledger_requests: flume::Sender<LedgerRequest>,
) {
    let (guard, ingress) = (Arc::clone(&components.guard), Arc::clone(&components.ingress));
    let (members, directory) = (Arc::clone(&components.members), Arc::clone(&components.directory));
    tokio::spawn(Arc::clone(&members).run());
    tokio::spawn(handle_guard_events(guard_events, Arc::clone(&members), ledger_requests));
    tokio::spawn(pull_from_peers(
        config_events,
        Arc::clone(&components.config_state),
        Arc::clone(&members),
        Arc::clone(&directory),
        Arc::clone(&components.clients),
    ));
    tokio::spawn(Arc::clone(&components.demand).run(Arc::clone(&ingress), members, directory));
    tokio::spawn(close_expired_connections(Arc::clone(&components.hop_pool)));
    tokio::spawn(Arc::clone(&ingress).probe_paths());
    tokio::spawn(Arc::clone(&guard).probe_health());
    tokio::spawn(update_guard_baselines(guard, ingress));
}

async fn handle_guard_events(
    events: flume::Receiver<GuardEvent>,
    members: Arc<MembershipDriver>,
    ledger_requests: flume::Sender<LedgerRequest>,
) {
    while let Ok(event) = events.recv_async().await {
        let request = match event {
            GuardEvent::ServersChanged => {
                members.publish_servers();
                continue;
            }
            GuardEvent::RequestPermit { service, server } => {
                LedgerRequest { service, server, enter: true }
            }
            GuardEvent::ReleasePermit { service, server } => {
                LedgerRequest { service, server, enter: false }
            }
        };
        let _ = ledger_requests.send(request);
    }
}

async fn update_guard_baselines(guard: Arc<Guard>, ingress: Arc<Ingress>) {
    loop {
        tokio::time::sleep(BASELINE_INTERVAL).await;
        guard.update_baselines(|service| ingress.baseline(service));
    }
}

async fn close_expired_connections(pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(POOL_IDLE_TIMEOUT).await;
        pool.close_expired();
    }
}
