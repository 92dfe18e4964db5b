//! Key-value store of the platform.

use super::kv_http;
use super::kv_state::KvState;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

/// Injected fault of the key-value store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KvFault {
    /// No fault.
    #[default]
    None,
    /// Delays each call.
    Slow,
    /// Responds with status 503 without executing the call.
    Busy,
    /// Neither executes the call nor responds.
    NoResponse,
    /// Executes the call and closes the connection without a response.
    LoseResponses,
    /// Watches see no change.
    DeafWatches,
}

/// State that all connections share.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) state: Mutex<KvState>,
    pub(super) changed: Condvar,
    fault: Mutex<KvFault>,
    calls: AtomicU64,
}

impl Shared {
    /// Returns the injected fault.
    pub(super) fn fault(&self) -> KvFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Increments the number of calls.
    pub(super) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
}

/// Running key-value store. Its thread runs until the process ends.
#[derive(Clone, Debug)]
pub struct KvStore {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl KvStore {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub fn start() -> io::Result<KvStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = KvStore { addr: listener.local_addr()?, shared: Arc::default() };
        let shared = store.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                // An I/O error means that the client closed the connection.
                std::thread::spawn(move || drop(kv_http::serve_connection(&shared, stream)));
            }
        });
        Ok(store)
    }

    /// Returns the address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an item without a lease, as an operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner).put(key, value, 0);
        self.shared.changed.notify_all();
    }

    /// Writes an item whose encoded value is given, which may be invalid.
    pub fn put_encoded(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.put_encoded(key, value.to_owned(), 0);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns the number of items whose keys have a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire(Instant::now());
        state.range(prefix, "")["items"].as_array().map_or(0, Vec::len)
    }

    /// Replaces the injected fault and restarts all leases, because leases are suspended while
    /// the store does not respond.
    pub fn set_fault(&self, fault: KvFault) {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.restart_leases(Instant::now());
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Ends all leases, as after an outage during which leases were not suspended.
    pub fn expire_leases(&self) {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner).end_all_leases();
        self.shared.changed.notify_all();
    }

    /// Discards the change history.
    pub fn compact(&self) {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner).compact();
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}
