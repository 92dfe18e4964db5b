//! Asynchronous tasks of a daemon.

use super::bound::BoundSockets;
use super::parts::{Components, POOL_IDLE};
use crate::config_sync::{ConfigEvent, pull_from_peers};
use crate::guard::{Guard, GuardEvent};
use crate::http::{HttpLimits, Pool, ServeOptions};
use crate::ingress::Ingress;
use crate::ledger::LedgerRequest;
use crate::peers::{MembershipDriver, PeerServer, serve_peers};
use crate::stop::StopSignal;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a guard closes the connection of an ingress.
const HOP_IDLE: Duration = Duration::from_secs(90);
/// Most connections of ingresses: one each at the target, with room for bursts.
const HOP_CONNECTIONS: usize = 4_096;
/// Interval at which the guard takes the baselines of the own ingress.
const BASELINE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the servers for callers and other daemons.
pub(super) fn serve(parts: &Components, bound: BoundSockets, stop_peers: StopSignal) {
    let limits = parts.limits;
    let hop_limits =
        HttpLimits { head_timeout: HOP_IDLE, max_connections: HOP_CONNECTIONS, ..limits };
    let hop_options = ServeOptions { limits: hop_limits, name: "hop" };
    let guard = Arc::clone(&parts.guard);
    let hop = bound.hop;
    tokio::spawn(
        hop.serve(hop_options, stop_peers.clone(), move |req| Arc::clone(&guard).handle(req)),
    );
    let server = PeerServer {
        members: Arc::clone(&parts.members),
        config: Arc::clone(&parts.state),
        homes: Arc::clone(&parts.homes),
        demand: Arc::clone(&parts.demand),
    };
    tokio::spawn(serve_peers(bound.rpc, parts.keys.clone(), server, stop_peers));
    let ingress = Arc::clone(&parts.ingress);
    let caller_options = ServeOptions { limits, name: "callers" };
    let callers = bound.callers;
    tokio::spawn(
        callers
            .serve(caller_options, parts.stop.clone(), move |req| Arc::clone(&ingress).handle(req)),
    );
}

/// Starts the tasks that drive the parts.
pub(super) fn drive(
    parts: &Components,
    guard_events: flume::Receiver<GuardEvent>,
    config_events: flume::Receiver<ConfigEvent>,
    ledger: flume::Sender<LedgerRequest>,
) {
    let (guard, ingress) = (Arc::clone(&parts.guard), Arc::clone(&parts.ingress));
    let (members, directory) = (Arc::clone(&parts.members), Arc::clone(&parts.directory));
    tokio::spawn(Arc::clone(&members).run());
    tokio::spawn(handle_guard_events(guard_events, Arc::clone(&members), ledger));
    tokio::spawn(pull_from_peers(
        config_events,
        Arc::clone(&parts.state),
        Arc::clone(&members),
        Arc::clone(&directory),
        Arc::clone(&parts.clients),
    ));
    tokio::spawn(Arc::clone(&parts.demand).run(Arc::clone(&ingress), members, directory));
    tokio::spawn(expire_connections(Arc::clone(&parts.hop_pool)));
    tokio::spawn(Arc::clone(&ingress).probe_paths());
    tokio::spawn(Arc::clone(&guard).probe_health());
    tokio::spawn(feed_baselines(guard, ingress));
}

async fn handle_guard_events(
    events: flume::Receiver<GuardEvent>,
    members: Arc<MembershipDriver>,
    ledger: flume::Sender<LedgerRequest>,
) {
    while let Ok(event) = events.recv_async().await {
        let task = match event {
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
        let _ = ledger.send(task);
    }
}

async fn feed_baselines(guard: Arc<Guard>, ingress: Arc<Ingress>) {
    loop {
        tokio::time::sleep(BASELINE_INTERVAL).await;
        guard.update_baselines(|service| ingress.baseline(service));
    }
}

async fn expire_connections(pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(POOL_IDLE).await;
        pool.close_expired();
    }
}
