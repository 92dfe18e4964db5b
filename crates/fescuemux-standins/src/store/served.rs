//! HTTP server of the stand-in store.

use super::{MemoryStore, StoreCounters, StoreFault};
use anyhow::Context as _;
use fescuemux_store::protocol::{
    ErrorBody, GET_PATH, GetRequest, GetResponse, GrantRequest, LEASE_GRANT_PATH, LEASE_RENEW_PATH,
    LEASE_REVOKE_PATH, LIST_PATH, LeaseRequest, LeaseResponse, ListRequest, ListResponse,
    MAX_BODY_BYTES, SWAP_PATH, SwapRequest, SwapResponse, WATCH_PATH, WatchRequest, WatchResponse,
    status_code,
};
use fescuemux_store::{
    Effect, FailureKind, Mutation, Precondition, RenewResult, Store, StoreError,
};
use rouille::{Request, Response, ResponseBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read};
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two checks for a stop request while no call arrives.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest timeout of a watch. It bounds how long a stopped server keeps a client waiting.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Stand-in store that serves HTTP with one thread per connection.
pub struct StandInStore {
    store: Arc<MemoryStore>,
    addr: SocketAddr,
    stop_requested: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandInStore {
    /// Starts an empty store that uses the system clock. With port 0 it listens on a free port.
    ///
    /// # Errors
    /// Fails when `addr` cannot be bound.
    pub fn start(addr: impl ToSocketAddrs) -> anyhow::Result<StandInStore> {
        StandInStore::serve(addr, Arc::new(MemoryStore::new()))
    }

    /// Serves `store`, which can still be used in process as well.
    ///
    /// # Errors
    /// Fails when `addr` cannot be bound.
    pub fn serve(
        addr: impl ToSocketAddrs,
        store: Arc<MemoryStore>,
    ) -> anyhow::Result<StandInStore> {
        let handler_store = Arc::clone(&store);
        let server =
            rouille::Server::new(addr, move |request| handle_request(&handler_store, request))
                .map_err(|error| anyhow::anyhow!("{error}"))
                .context("bind the stand-in store")?;
        let addr = server.server_addr();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stop_requested);
        let thread =
            std::thread::Builder::new().name("standin-store".to_owned()).spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    server.poll_timeout(STOP_CHECK_INTERVAL);
                }
            })?;
        Ok(StandInStore { store, addr, stop_requested, thread: Some(thread) })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the in-memory store behind the server.
    pub fn memory_store(&self) -> &MemoryStore {
        &self.store
    }

    /// Injects a fault in addition to those in effect, or clears all faults.
    pub fn set_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Returns the call counters since the store was created.
    pub fn counters(&self) -> StoreCounters {
        self.store.counters()
    }

    /// Stops listening. Does not wait for calls in progress.
    pub fn stop(mut self) {
        self.stop_thread();
    }

    fn stop_thread(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // If the server thread panicked, it has ended as well.
            let _ = thread.join();
        }
    }
}

impl Drop for StandInStore {
    fn drop(&mut self) {
        self.stop_thread();
    }
}

fn handle_request(store: &MemoryStore, request: &Request) -> Response {
    match dispatch(store, request) {
        Ok(response) => response,
        Err(error) if error.effect == Effect::Unknown || error.kind == FailureKind::NoResponse => {
            truncated_response()
        }
        Err(error) => {
            Response::json(&ErrorBody::from(&error)).with_status_code(status_code(error.kind))
        }
    }
}

fn dispatch(store: &MemoryStore, request: &Request) -> Result<Response, StoreError> {
    match request.url().as_str() {
        GET_PATH => {
            let body: GetRequest = parse_body(request)?;
            let entry = store.get(&body.key)?.map(Into::into);
            json_response(&GetResponse { entry })
        }
        SWAP_PATH => {
            let body: SwapRequest = parse_body(request)?;
            let precondition = match body.expect {
                0 => Precondition::Absent,
                version => Precondition::Version(version),
            };
            let mutation = match &body.value {
                Some(value) => Mutation::Put { value: &value.0, lease: body.lease },
                None => Mutation::Delete,
            };
            json_response(&SwapResponse::from(store.compare_and_swap(
                &body.key,
                precondition,
                mutation,
            )?))
        }
        LIST_PATH => {
            let body: ListRequest = parse_body(request)?;
            json_response(&ListResponse::from(store.list(&body.prefix)?))
        }
        WATCH_PATH => {
            let body: WatchRequest = parse_body(request)?;
            let timeout = Duration::from_millis(body.timeout_ms).min(MAX_WATCH_TIMEOUT);
            json_response(&WatchResponse::from(store.watch(&body.key, body.after, timeout)?))
        }
        LEASE_GRANT_PATH => {
            let body: GrantRequest = parse_body(request)?;
            let lease = store.lease_grant(Duration::from_millis(body.ttl_ms))?;
            json_response(&LeaseResponse { lease, alive: true })
        }
        LEASE_RENEW_PATH => {
            let lease = parse_body::<LeaseRequest>(request)?.lease;
            let alive = store.lease_renew(lease)? == RenewResult::Renewed;
            json_response(&LeaseResponse { lease, alive })
        }
        LEASE_REVOKE_PATH => {
            let lease = parse_body::<LeaseRequest>(request)?.lease;
            store.lease_revoke(lease)?;
            json_response(&LeaseResponse { lease, alive: false })
        }
        path => {
            Err(StoreError::without_effect(FailureKind::Refused, format!("no such call: {path}")))
        }
    }
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, StoreError> {
    let mut bytes = Vec::new();
    if let Some(data) = request.data() {
        data.take(MAX_BODY_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|error| StoreError::without_effect(FailureKind::Refused, error.to_string()))?;
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| StoreError::without_effect(FailureKind::Refused, error.to_string()))
}

fn json_response(body: &impl Serialize) -> Result<Response, StoreError> {
    Ok(Response::json(body))
}

/// Returns a response whose body fails, so that the connection breaks as with a lost reply.
fn truncated_response() -> Response {
    let mut response = Response::text("");
    response.data = ResponseBody::from_reader_and_size(FailingReader, 1);
    response
}

struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionReset.into())
    }
}
