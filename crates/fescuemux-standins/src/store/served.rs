//! Stand-in store over HTTP.

use super::{MemoryStore, StoreCounters, StoreFault};
use anyhow::Context as _;
use fescuemux_store::protocol::{
    ErrorBody, GET, GetAnswer, GetRequest, GrantRequest, LEASE_GRANT, LEASE_RENEW, LEASE_REVOKE,
    LIST, LeaseAnswer, LeaseRequest, ListAnswer, ListRequest, MAX_BODY_BYTES, SWAP, SwapAnswer,
    SwapRequest, WATCH, WatchAnswer, WatchRequest, status_of,
};
use fescuemux_store::{Change, Effect, Expect, Failure, Renewal, Store, StoreError};
use rouille::{Request, Response, ResponseBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read};
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often the server looks whether it was stopped while no call arrives.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait of one watch. Bounds how long a stopped server still holds a caller.
const MAX_WATCH: Duration = Duration::from_secs(60);

/// Store served over HTTP on a thread for each connection.
pub struct StandInStore {
    store: Arc<MemoryStore>,
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandInStore {
    /// Starts an empty store on the machine's clock. Port 0 takes a free port.
    ///
    /// # Errors
    /// Fails when `addr` cannot be bound.
    pub fn start(addr: impl ToSocketAddrs) -> anyhow::Result<StandInStore> {
        StandInStore::serve(addr, Arc::new(MemoryStore::new()))
    }

    /// Serves `store`, which the caller may go on using in process.
    ///
    /// # Errors
    /// Fails when `addr` cannot be bound.
    pub fn serve(
        addr: impl ToSocketAddrs,
        store: Arc<MemoryStore>,
    ) -> anyhow::Result<StandInStore> {
        let served = Arc::clone(&store);
        let server = rouille::Server::new(addr, move |request| answer(&served, request))
            .map_err(|error| anyhow::anyhow!("{error}"))
            .context("bind the stand-in store")?;
        let addr = server.server_addr();
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let thread =
            std::thread::Builder::new().name("standin-store".to_owned()).spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    server.poll_timeout(STOP_CHECK_INTERVAL);
                }
            })?;
        Ok(StandInStore { store, addr, stopped, thread: Some(thread) })
    }

    /// Returns the address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the store behind the server.
    pub fn memory_store(&self) -> &MemoryStore {
        &self.store
    }

    /// Adds a fault, or clears all of them.
    pub fn set_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Returns the counters since the store was created.
    pub fn counters(&self) -> StoreCounters {
        self.store.counters()
    }

    /// Stops listening. Calls in progress end by themselves.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A server thread that panicked has stopped as well.
            let _ = thread.join();
        }
    }
}

impl Drop for StandInStore {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn answer(store: &MemoryStore, request: &Request) -> Response {
    match dispatch(store, request) {
        Ok(response) => response,
        Err(error) if error.effect == Effect::Unknown || error.failure == Failure::NoAnswer => {
            cut_answer()
        }
        Err(error) => {
            Response::json(&ErrorBody::from(&error)).with_status_code(status_of(error.failure))
        }
    }
}

fn dispatch(store: &MemoryStore, request: &Request) -> Result<Response, StoreError> {
    match request.url().as_str() {
        GET => {
            let body: GetRequest = parse(request)?;
            let entry = store.get(&body.key)?.map(Into::into);
            reply(&GetAnswer { entry })
        }
        SWAP => {
            let body: SwapRequest = parse(request)?;
            let expect = match body.expect {
                0 => Expect::Absent,
                version => Expect::Version(version),
            };
            let change = match &body.value {
                Some(value) => Change::Put { value: &value.0, lease: body.lease },
                None => Change::Delete,
            };
            reply(&SwapAnswer::from(store.compare_and_swap(&body.key, expect, change)?))
        }
        LIST => {
            let body: ListRequest = parse(request)?;
            reply(&ListAnswer::from(store.list(&body.prefix)?))
        }
        WATCH => {
            let body: WatchRequest = parse(request)?;
            let timeout = Duration::from_millis(body.timeout_ms).min(MAX_WATCH);
            reply(&WatchAnswer::from(store.watch(&body.key, body.after, timeout)?))
        }
        LEASE_GRANT => {
            let body: GrantRequest = parse(request)?;
            let lease = store.lease_grant(Duration::from_millis(body.ttl_ms))?;
            reply(&LeaseAnswer { lease, alive: true })
        }
        LEASE_RENEW => {
            let lease = parse::<LeaseRequest>(request)?.lease;
            let alive = store.lease_renew(lease)? == Renewal::Renewed;
            reply(&LeaseAnswer { lease, alive })
        }
        LEASE_REVOKE => {
            let lease = parse::<LeaseRequest>(request)?.lease;
            store.lease_revoke(lease)?;
            reply(&LeaseAnswer { lease, alive: false })
        }
        path => Err(StoreError::none(Failure::Refused, format!("no such call: {path}"))),
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, StoreError> {
    let mut bytes = Vec::new();
    if let Some(data) = request.data() {
        data.take(MAX_BODY_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|error| StoreError::none(Failure::Refused, error.to_string()))?;
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| StoreError::none(Failure::Refused, error.to_string()))
}

fn reply(body: &impl Serialize) -> Result<Response, StoreError> {
    Ok(Response::json(body))
}

/// Breaks the connection in the middle of the answer, as a lost reply appears to a client.
fn cut_answer() -> Response {
    let mut response = Response::text("");
    response.data = ResponseBody::from_reader_and_size(Cut, 1);
    response
}

struct Cut;

impl Read for Cut {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionReset.into())
    }
}
