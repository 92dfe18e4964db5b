//! The stand-in backend server as its owner sees it.

use super::accept::{accept, bind, listen};
use super::announce::{announce, sample_load};
use super::execution::Execution;
use super::fault::ServerFault;
use super::faults::Faults;
use super::options::ServerOptions;
use super::shared::Shared;
use anyhow::Context;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::{self, Runtime};

/// Worker threads of a server's runtime. The work of a stand-in is waiting, so one suffices.
const WORKER_THREADS: usize = 1;
/// Longest time [`StandInServer::stop`] waits for the runtime.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Stand-in backend server on a loopback address of its own. Dropping it stops it.
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
    /// Fails when the runtime cannot start or no port is free.
    pub fn start(options: ServerOptions) -> anyhow::Result<StandInServer> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("stand-in-server")
            .enable_all()
            .build()
            .context("start the runtime of a stand-in server")?;
        let start_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let announce_to = options.announce_to;
        let shared = Arc::new(Shared::new(options, Instant::now()));
        let entered = runtime.enter();
        let reserved =
            bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).context("bind a stand-in server")?;
        let addr = reserved.local_addr()?;
        let listener = listen(addr).context("listen on a stand-in server's address")?;
        drop(entered);
        runtime.spawn(accept(Arc::clone(&shared), reserved, listener));
        runtime.spawn(sample_load(Arc::clone(&shared)));
        if let Some(to) = announce_to {
            runtime.spawn(announce(Arc::clone(&shared), to, addr, start_ms));
        }
        Ok(StandInServer { shared, addr, runtime: Mutex::new(Some(runtime)) })
    }

    /// Returns the address that answers requests.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the fault. Requests that already run keep the fault they started with.
    pub fn set_fault(&self, fault: ServerFault) {
        self.shared.faults.send_replace(Faults::new(fault, Instant::now()));
    }

    /// Returns a copy of all executions since the start, in the order in which they began.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions()
    }

    /// Returns the largest number of slots that were busy at the same time.
    pub fn peak_concurrency(&self) -> u32 {
        self.shared.peak()
    }

    /// Announces the phase `draining` at once and from then on. The server still runs work
    /// that reaches it, so that tests can find work sent too late.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared.announce_now.notify_one();
    }

    /// Closes all connections and the port, and cancels running work. Later calls do nothing.
    pub fn stop(&self) {
        let taken = self.runtime.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        let Some(runtime) = taken else {
            return;
        };
        // A runtime must not be shut down on a thread of another runtime, where a caller may be.
        let stopper = thread::spawn(move || runtime.shutdown_timeout(STOP_TIMEOUT));
        let _ = stopper.join();
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.stop();
    }
}
