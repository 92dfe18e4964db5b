//! Startup, graceful shutdown and settings reload.

use crate::node::Node;
use crate::serve::{accept_connections, bind, serve_simple};
use crate::{Dialect, MetadataStore, NodeSettings, SettingsSource, supervise};
use crate::{allowance_exchange, control, guard, hop, ingress, load_query, memory, sync};
use anyhow::Result;
use fescuemux_clock::BootClock;
use fescuemux_core::memory::ConnectionKind;
use fescuemux_core::placement::ShutdownDeadlines;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Time after SIGTERM in which callers may still send requests: callers leave after two failed
/// readiness checks, a second apart, and requests in transit get one more second.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Interval between checks for requests in flight during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between reads of the settings, which may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the process until shutdown after SIGTERM. Must be called within a
/// [`tokio::task::LocalSet`].
///
/// # Errors
/// Fails if the settings are invalid or an address cannot be bound.
pub async fn run<S: MetadataStore + 'static>(
    source: impl SettingsSource + 'static,
    dialect: Rc<dyn Dialect>,
    store: Rc<S>,
) -> Result<()> {
    // Install the handler first: without a handler, SIGTERM kills the process along with its
    // requests.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let settings = source.read()?;
    let addresses = settings.listen;
    let node = Rc::new(Node::new(settings, dialect, Arc::new(BootClock::new()))?);
    node.add_peer(node.own_peer(), "own");
    info!(event = "started", instance = %node.own_peer().id, incarnation = node.incarnation);

    let peer_listener = bind(addresses.peers).await?;
    serve_simple(
        node.clone(),
        ConnectionKind::Control,
        bind(addresses.control).await?,
        control::handle_control,
    );
    serve_simple(
        node.clone(),
        ConnectionKind::Ready,
        bind(addresses.ready).await?,
        control::handle_ready,
    );
    serve_simple(
        node.clone(),
        ConnectionKind::Metrics,
        bind(addresses.metrics).await?,
        control::handle_operator,
    );
    spawn_local(ingress::serve(node.clone(), bind(addresses.callers).await?));
    spawn_local(serve_peers(node.clone(), peer_listener));
    spawn_supervised("memory", &node, memory::advance);
    spawn_supervised("load_query", &node, load_query::serve);
    spawn_supervised("tick", &node, guard::tick);
    spawn_supervised("allowances", &node, allowance_exchange::tick);
    spawn_supervised("pull", &node, sync::pull);
    spawn_supervised("gossip", &node, sync::gossip);
    let config_store = store.clone();
    spawn_supervised("watch_config", &node, move |node| {
        sync::watch_config(node, config_store.clone())
    });
    let list_store = store.clone();
    spawn_supervised("list_peers", &node, move |node| sync::list_peers(node, list_store.clone()));
    let departure_store = store.clone();
    spawn_supervised("record_departures", &node, move |node| {
        sync::record_departures(node, departure_store.clone())
    });
    spawn_supervised("exchange_departures", &node, sync::exchange_departures);
    spawn_local(watch_settings(node.clone(), source, hangup));
    let registration = spawn_local(sync::register(node.clone(), store));

    terminate.recv().await;
    drain(&node, &mut terminate).await;
    registration.abort();
    info!(event = "stopped", in_flight = node.in_flight.get());
    Ok(())
}

/// Spawns a task that runs as long as the process; see [`supervise`].
fn spawn_supervised<F: Future<Output = ()> + 'static>(
    name: &'static str,
    node: &Rc<Node>,
    start: impl Fn(Rc<Node>) -> F + 'static,
) {
    let node = node.clone();
    spawn_local(supervise(name, move || start(node.clone())));
}

async fn serve_peers(node: Rc<Node>, listener: tokio::net::TcpListener) {
    let serve = |stream, permit| {
        let node = node.clone();
        async move {
            let is_limited = node.settings.borrow().process_limits.memory_bytes.is_some();
            let max_head_bytes =
                node.config.borrow().as_ref().map_or(0, |config| config.limits.head_bytes);
            let max_head_bytes = is_limited.then_some(max_head_bytes);
            match hop::HopConnection::accepted(stream, node.now(), max_head_bytes) {
                Ok(hop) => guard::serve(node, hop, permit).await,
                Err(e) => info!(event = "connection_lost", error = %e),
            }
        }
    };
    accept_connections(&node, ConnectionKind::Peer, listener, serve).await;
}

/// Reports the process as not ready, so that callers leave, and lets the guard admit only requests
/// that end in time. Waits until [`CALLER_DRAIN_TIME`] is over and no request is in flight, or the
/// process must exit to end within its grace time.
async fn drain(node: &Node, terminate: &mut Signal) {
    let started_at = node.now();
    let mut shutdown_deadlines = ShutdownDeadlines::new(started_at, node.settings.borrow().grace);
    info!(event = "stopping", in_flight = node.in_flight.get());
    node.shutdown_deadlines.set(Some(shutdown_deadlines));
    node.refuse_requests_from.set(Some(started_at + CALLER_DRAIN_TIME));
    node.stopping.send_replace(true);
    node.admission.borrow_mut().stop(shutdown_deadlines);
    node.advance_admission();
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                info!(event = "stop_repeated", in_flight = node.in_flight.get());
                shutdown_deadlines.on_repeated_stop(node.now());
                node.shutdown_deadlines.set(Some(shutdown_deadlines));
            }
            () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
        let now = node.now();
        let idle = node.in_flight.get() == 0
            && node.admission.borrow().used_slots() == 0
            && node.departures_are_durable();
        let drain_time_over = now.saturating_duration_since(started_at) >= CALLER_DRAIN_TIME;
        if (drain_time_over && idle) || shutdown_deadlines.must_exit(now) {
            return;
        }
    }
}

/// Reloads the settings after SIGHUP and at a regular interval.
async fn watch_settings(node: Rc<Node>, source: impl SettingsSource, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => info!(event = "reload_requested"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match source.read() {
            Ok(settings) => apply_settings(&node, settings),
            Err(e) => warn!(event = "settings_unreadable", error = %e),
        }
    }
}

/// Replaces the settings, except the listen addresses. Changed retry limits have no effect before
/// the next start, because the admission controller was created with the former limits.
fn apply_settings(node: &Node, settings: NodeSettings) {
    let mut current = node.settings.borrow_mut();
    if current.service != settings.service || current.grace != settings.grace {
        info!(event = "settings_changed", service = %settings.service);
    }
    let listen = current.listen;
    *current = NodeSettings { listen, ..settings };
}
