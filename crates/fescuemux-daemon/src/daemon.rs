//! A running daemon: all parts wired together.

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
use crate::guard::serve_announcements;
use crate::operators::{SetLogLevel, serve_operators};
use crate::stop::{StopControl, StopPhase, stop_channel};
use anyhow::Context;
use fescuemux_settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// Worker threads of a daemon. The target is about 90 requests/s a node, far below one core.
const WORKERS: usize = 2;
/// Time for callers and peers to hear of a planned stop before new work is refused. Messages to
/// three members at once and gossip reach the fleet within a second.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which a stop looks for work under way.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct Daemon {
    runtime: Option<Runtime>,
    stop: StopControl,
    /// Stops the listeners for other daemons and operators, after all work has ended.
    stop_peers: StopControl,
    addresses: Addresses,
    parts: Components,
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
        let (stop, stop_signal) = stop_channel();
        let (stop_peers, peers_signal) = stop_channel();
        let bound = runtime.block_on(BoundSockets::bind(settings))?;
        let (parts, inboxes) = Components::build(settings, &bound, stop_signal)?;
        let EventReceivers { guard_events, config_events } = inboxes;

        let mut threads = Threads::default();
        let context = parts.operator_context(settings, set_log_level)?;
        let operators = serve_operators(settings.listen.operators, Arc::new(context))?;
        let announcements = serve_announcements(settings.listen.local, Arc::clone(&parts.guard))?;
        let addresses = Addresses {
            callers: bound.callers.local_addr()?,
            hop: bound.hop.local_addr()?,
            rpc: bound.rpc.local_addr()?,
            local: announcements.server_addr(),
            operators: operators.server_addr(),
        };
        threads.poll("operators", peers_signal.clone(), move |wait| {
            operators.poll_timeout(wait);
        })?;
        threads.poll("announcements", peers_signal.clone(), move |wait| {
            announcements.poll_timeout(wait);
        })?;

        let entered = runtime.enter();
        let (ledger_tx, ledger_rx) = flume::unbounded();
        tasks::serve(&parts, bound, peers_signal);
        tasks::drive(&parts, guard_events, config_events, ledger_tx);
        parts.members.join(settings.seeds.clone());
        parts.members.publish_servers();
        store_threads::spawn(&mut threads, settings, &parts, ledger_rx, runtime.handle())?;
        drop(entered);
        tracing::info!(instance = %settings.instance, ?addresses, incarnation = parts.incarnation,
            "daemon started");
        let grace = settings.stop.grace;
        let runtime = Some(runtime);
        Ok(Daemon { runtime, stop, stop_peers, addresses, parts, threads, grace })
    }

    /// Returns the addresses that are bound.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the generation of the configuration in force, zero without one.
    pub fn generation(&self) -> u64 {
        self.parts.state.generation()
    }

    /// Stops gracefully: peers and callers are asked to go elsewhere, then new work is refused,
    /// then work under way is finished within the grace time of the settings. `hurry` may cut the
    /// wait short; it is asked regularly.
    pub fn stop(mut self, force: impl Fn() -> bool) -> StopReport {
        tracing::info!("stopping");
        let runtime = self.runtime.take();
        let entered = runtime.as_ref().map(Runtime::enter);
        self.stop.advance(StopPhase::Leaving);
        self.parts.members.leave();
        wait_until(LEAVE_TIME, &force);
        self.stop.advance(StopPhase::Closing);
        wait_until(self.grace, || self.in_flight() == 0 || force());
        let report = StopReport { aborted_requests: self.in_flight() };
        if report.aborted_requests > 0 {
            tracing::warn!(cut = report.aborted_requests, "requests were cut");
        }
        self.stop.advance(StopPhase::Aborting);
        self.stop_peers.advance(StopPhase::Aborting);
        drop(entered);
        if let Some(runtime) = runtime {
            runtime.shutdown_timeout(Duration::from_millis(200));
        }
        self.threads.join();
        tracing::info!(cut = report.aborted_requests, "stopped");
        report
    }

    /// Ends at once without telling anybody, as a crash does. For tests of failures.
    pub fn abort(mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.stop.advance(StopPhase::Aborting);
        self.stop_peers.advance(StopPhase::Aborting);
    }

    fn in_flight(&self) -> u32 {
        let callers = u32::try_from(self.parts.metrics.in_flight.get()).unwrap_or(0);
        callers.max(self.parts.guard.in_flight()).max(self.parts.ingress.in_flight())
    }
}

fn wait_until(limit: Duration, done: impl Fn() -> bool) {
    let started = Instant::now();
    while started.elapsed() < limit && !done() {
        std::thread::sleep(STOP_POLL);
    }
}
