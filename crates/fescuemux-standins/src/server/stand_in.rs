//! Starts, controls and stops a stand-in backend server.

use super::accept::{accept_connections, bind, listen};
use super::announce::{announce, sample_load};
use super::execution::Execution;
use super::fault::ServerFault;
use super::faults::FaultSchedule;
use super::options::ServerOptions;
use super::shared::Shared;
use anyhow::Context;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::{self, Runtime};

/// Worker threads of a server's runtime. A stand-in mostly sleeps, so one thread suffices.
const WORKER_THREADS: usize = 1;
/// Longest time that [`StandInServer::stop`] waits for the runtime.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Stand-in backend server with its own loopback address. Dropping this value stops the server.
#[derive(Debug)]
pub struct StandInServer {
    shared: Arc<Shared>,
    addr: SocketAddr,
    runtime: Mutex<Option<Runtime>>,
}

impl StandInServer {
    /// Starts a server on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be started or no port is free.
    pub fn start(options: ServerOptions) -> anyhow::Result<StandInServer> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("stand-in-server")
            .enable_all()
            .build()
            .context("start the runtime of a stand-in server")?;
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let announce_to = options.announce_to;
        let shared = Arc::new(Shared::new(options, Instant::now()));
        let runtime_context = runtime.enter();
        let reserved_socket =
            bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).context("bind a stand-in server")?;
        let addr = reserved_socket.local_addr()?;
        let listener = listen(addr).context("listen on a stand-in server's address")?;
        drop(runtime_context);
        runtime.spawn(accept_connections(Arc::clone(&shared), reserved_socket, listener));
        runtime.spawn(sample_load(Arc::clone(&shared)));
        if let Some(daemon_addr) = announce_to {
            runtime.spawn(announce(Arc::clone(&shared), daemon_addr, addr, incarnation));
        }
        Ok(StandInServer { shared, addr, runtime: Mutex::new(Some(runtime)) })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the injected fault. Running requests keep the fault that they started with.
    pub fn set_fault(&self, fault: ServerFault) {
        self.shared.fault_schedule.send_replace(FaultSchedule::new(fault, Instant::now()));
    }

    /// Returns a copy of all executions since the start, ordered by start time.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions()
    }

    /// Returns the largest number of slots that were busy at the same time.
    pub fn peak_concurrency(&self) -> u32 {
        self.shared.peak_busy()
    }

    /// Announces the phase `draining` immediately and from then on. The server still runs the
    /// requests that reach it, so that tests can detect requests sent too late.
    pub fn announce_draining(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared.announce_now.notify_one();
    }

    /// Closes the port and all connections and cancels running requests. Later calls do nothing.
    pub fn stop(&self) {
        let taken = self.runtime.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        let Some(runtime) = taken else {
            return;
        };
        // Shutting a runtime down on a thread of another runtime panics, and the caller may be on
        // such a thread.
        let stopper = thread::spawn(move || runtime.shutdown_timeout(STOP_TIMEOUT));
        let _ = stopper.join();
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.stop();
    }
}
