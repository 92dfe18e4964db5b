//! Connection pool of one target.

use bytes::Bytes;
use fescuemux_http::{CheckedStream, ExchangeHandle, RequestMethod};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Sending half of a connection.
#[derive(Debug)]
pub(crate) struct Sender {
    sender: SendRequest<Full<Bytes>>,
    exchange: ExchangeHandle,
}

impl Sender {
    /// Sends a request. The response to the previous one must be complete.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.exchange.begin(RequestMethod::from(request.method().as_str()));
        self.sender.try_send_request(request).await
    }
}

/// Pool with a bounded number of connections to the addresses of one target. The most recently
/// used idle connection is reused first.
#[derive(Debug)]
pub(crate) struct Pool {
    addresses: Vec<SocketAddr>,
    /// Idle connections of each address, the most recently used last.
    idle: Vec<Mutex<Vec<Sender>>>,
    permits: Semaphore,
    /// Number of permits granted so far, by which the addresses take turns.
    granted: AtomicUsize,
}

/// Permit for one connection to the address at `index`.
#[derive(Debug)]
pub(crate) struct ConnectionPermit<'a> {
    pool: &'a Pool,
    index: usize,
    _permit: SemaphorePermit<'a>,
}

impl Pool {
    pub(crate) fn new(addresses: Vec<SocketAddr>, connections: usize) -> Pool {
        let idle = addresses.iter().map(|_| Mutex::new(Vec::new())).collect();
        Pool { addresses, idle, permits: Semaphore::new(connections), granted: AtomicUsize::new(0) }
    }

    /// Waits in order of arrival until a connection may be used.
    pub(crate) async fn acquire(&self) -> Option<ConnectionPermit<'_>> {
        let permit = self.permits.acquire().await.ok()?;
        let index = self.granted.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
        Some(ConnectionPermit { pool: self, index, _permit: permit })
    }
}

impl ConnectionPermit<'_> {
    pub(crate) fn addr(&self) -> SocketAddr {
        self.pool.addresses[self.index]
    }

    /// Takes an idle connection, if there is one.
    pub(crate) fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle();
        while let Some(sender) = idle.pop() {
            if sender.sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(&self) -> anyhow::Result<Sender> {
        let stream = TcpStream::connect(self.addr()).await?;
        stream.set_nodelay(true)?;
        let (stream, exchange) = CheckedStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // The task ends when `sender` is dropped. Its errors also reach the request in progress,
        // which reports them.
        tokio::spawn(connection);
        Ok(Sender { sender, exchange })
    }

    /// Puts a connection back into the pool. Its response must have been read to the end.
    pub(crate) fn release(self, sender: Sender) {
        if !sender.sender.is_closed() {
            self.idle().push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender>> {
        self.pool.idle[self.index].lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
