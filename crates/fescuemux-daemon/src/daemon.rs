//! A running daemon: wires all components together.

mod addresses;
mod bound;
mod parts;
mod report;
mod store_threads;
mod tasks;
mod threads;

pub use addresses::Addresses;
pub use report::StopReport;

use self::bound::BoundSockets;
use self::parts::{Components, EventReceivers};
use self::threads::Threads;
use crate::operators::{SetLogLevel, serve_operators};
use crate::stop::{StopController, StopPhase, stop_channel};
use anyhow::Context;
use fescuemux_settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// Worker threads of the runtime. The target load is about 90 requests/s per instance, far below
/// the capacity of one core.
const WORKER_THREADS: usize = 2;
/// Time between the announcement of a planned stop and the refusal of new requests. Direct messages
/// to three members and gossip reach the fleet within a second.
const LEAVE_ANNOUNCE_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which a stop checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct Daemon {
    runtime: Option<Runtime>,
    stop: StopController,
    /// Stops the listeners for other daemons, backend servers and operators, after all requests
    /// have ended or been aborted.
    stop_peers: StopController,
    addresses: Addresses,
    components: Components,
    threads: Threads,
    grace_period: Duration,
}

impl Daemon {
    /// Starts a daemon. `set_log_level` changes the log level at run time.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or a setting cannot be applied.
    pub fn start(settings: &Settings, set_log_level: SetLogLevel) -> anyhow::Result<Daemon> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("fescuemuxd")
            .enable_all()
            .build()
            .context("cannot start the runtime")?;
        let (stop, stop_signal) = stop_channel();
        let (stop_peers, peers_signal) = stop_channel();
        let sockets = runtime.block_on(BoundSockets::bind(settings))?;
        let (components, receivers) = Components::build(settings, &sockets, stop_signal)?;
        let EventReceivers { guard_events, config_events } = receivers;

        let mut threads = Threads::default();
        let context = components.operator_context(settings, set_log_level)?;
        let operators = serve_operators(settings.listen.operators, Arc::new(context))?;
        let addresses = Addresses {
            callers: sockets.callers.local_addr()?,
            hop: sockets.hop.local_addr()?,
            rpc: sockets.rpc.local_addr()?,
            local: sockets.local.local_addr()?,
            operators: operators.server_addr(),
        };
        threads.spawn_polling("operators", peers_signal.clone(), move |timeout| {
            operators.poll_timeout(timeout);
        })?;

        let runtime_guard = runtime.enter();
        let (ledger_tx, ledger_rx) = flume::unbounded();
        tasks::spawn_servers(&components, sockets, peers_signal);
        tasks::spawn_background_tasks(&components, guard_events, config_events, ledger_tx);
        components.members.join(settings.seeds.clone());
        components.members.publish_servers();
        store_threads::spawn_store_threads(
            &mut threads,
            settings,
            &components,
            ledger_rx,
            runtime.handle(),
        )?;
        drop(runtime_guard);
        tracing::info!(
            instance = %settings.instance,
            ?addresses,
            incarnation = components.incarnation,
            "daemon started"
        );
        let grace_period = settings.stop.grace_period;
        let runtime = Some(runtime);
        Ok(Daemon { runtime, stop, stop_peers, addresses, components, threads, grace_period })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the generation of the active configuration, or zero if there is none.
    pub fn generation(&self) -> u64 {
        self.components.config_state.generation()
    }

    /// Stops gracefully: announces the stop to peers and callers, then refuses new requests, then
    /// waits up to the grace period of the settings for requests in flight. `force` is polled and
    /// ends the waits when it returns `true`.
    pub fn stop(mut self, force: impl Fn() -> bool) -> StopReport {
        tracing::info!("stopping");
        let runtime = self.runtime.take();
        let runtime_guard = runtime.as_ref().map(Runtime::enter);
        self.stop.advance(StopPhase::Leaving);
        self.components.members.leave();
        wait_until(LEAVE_ANNOUNCE_TIME, &force);
        self.stop.advance(StopPhase::Closing);
        wait_until(self.grace_period, || self.in_flight() == 0 || force());
        let report = StopReport { aborted_requests: self.in_flight() };
        if report.aborted_requests > 0 {
            tracing::warn!(aborted_requests = report.aborted_requests, "requests aborted");
        }
        self.stop.advance(StopPhase::Aborting);
        self.stop_peers.advance(StopPhase::Aborting);
        drop(runtime_guard);
        if let Some(runtime) = runtime {
            runtime.shutdown_timeout(Duration::from_millis(200));
        }
        self.threads.join();
        tracing::info!(aborted_requests = report.aborted_requests, "stopped");
        report
    }

    /// Stops at once without notifying peers, as in a crash. For failure tests.
    pub fn abort(mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.stop.advance(StopPhase::Aborting);
        self.stop_peers.advance(StopPhase::Aborting);
    }

    /// Returns the highest of the counts of requests in flight that the components keep.
    fn in_flight(&self) -> u32 {
        let caller_requests = u32::try_from(self.components.metrics.in_flight.get()).unwrap_or(0);
        caller_requests
            .max(self.components.guard.in_flight())
            .max(self.components.ingress.in_flight())
    }
}

/// Waits until `is_done` returns `true`, at most for `max_wait`.
fn wait_until(max_wait: Duration, is_done: impl Fn() -> bool) {
    let started = Instant::now();
    while started.elapsed() < max_wait && !is_done() {
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
}
