//! Client connections that are reused only after a complete answer.

use super::body::OutgoingBody;
use bytes::Bytes;
use fescuemux_core::base::{HashMap, Verdict};
use http::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Idle connections kept for each address.
const MAX_IDLE: usize = 8;

/// Answer whose connection returns to the pool once its body has been read to the end.
pub(crate) type PooledResponse = Response<PooledBody>;

/// Whether a request may go over a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// A reused connection is fine.
    Allowed,
    /// Only a new connection: the peer may close an idle one at any time, and then it would be
    /// unknown whether the request ran.
    Never,
}

/// Failure to get the head of an answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No connection could be opened; no byte of the request left this process.
    #[error("connecting failed: {0}")]
    Connect(String),
    /// The connection closed before the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The request was sent, at least in part, and no answer came.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(String),
}

impl SendError {
    /// Returns what the failure says about the request.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            SendError::Connect(_) | SendError::NotSent => Verdict::NotRun,
            SendError::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

/// Pool of client connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    connect_timeout: Duration,
    idle_timeout: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// One connection. Dropping it closes the socket at once, which cancels what the peer does.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<OutgoingBody>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Returns an empty pool. `idle_timeout` must be shorter than the time after which the peers
    /// close idle connections.
    pub(crate) fn new(connect_timeout: Duration, idle_timeout: Duration) -> Arc<Pool> {
        Arc::new(Pool { connect_timeout, idle_timeout, idle: Mutex::default() })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have reached the peer.
    pub(crate) async fn send(
        self: &Arc<Pool>,
        addr: SocketAddr,
        reuse: ConnectionReuse,
        mut req: http::Request<OutgoingBody>,
    ) -> Result<PooledResponse, SendError> {
        if reuse == ConnectionReuse::Allowed {
            while let Some(connection) = self.take_idle(addr) {
                match self.send_over(addr, connection, req).await {
                    Ok(answer) => return Ok(answer),
                    Err((_, Some(unsent))) => req = *unsent,
                    Err((e, None)) => return Err(e),
                }
            }
        }
        let connection = self.connect(addr).await?;
        self.send_over(addr, connection, req).await.map_err(|(e, _)| e)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let connecting = timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let stream = connecting
            .map_err(|_| SendError::Connect("timed out".to_owned()))?
            .map_err(|e| SendError::Connect(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| SendError::Connect(e.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| SendError::Connect(e.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "client connection failed");
            }
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    async fn send_over(
        self: &Arc<Pool>,
        addr: SocketAddr,
        mut connection: Connection,
        req: http::Request<OutgoingBody>,
    ) -> Result<PooledResponse, (SendError, Option<Box<http::Request<OutgoingBody>>>)> {
        match connection.sender.try_send_request(req).await {
            Ok(answer) => {
                let lease = Lease { pool: Arc::clone(self), addr, connection };
                Ok(answer.map(|body| PooledBody::new(body, lease)))
            }
            Err(mut e) => match e.take_message() {
                Some(unsent) => Err((SendError::NotSent, Some(Box::new(unsent)))),
                None => Err((SendError::Broken(e.into_error().to_string()), None)),
            },
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            if since.elapsed() < self.idle_timeout && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(addr).or_default();
        connections.retain(|entry| entry.since.elapsed() < self.idle_timeout);
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes idle connections that are too old, for addresses that are no longer used.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|entry| entry.since.elapsed() < self.idle_timeout);
            !connections.is_empty()
        });
    }
}

#[derive(Debug)]
struct Lease {
    pool: Arc<Pool>,
    addr: SocketAddr,
    connection: Connection,
}

impl Lease {
    fn give_back(self) {
        let Lease { pool, addr, mut connection } = self;
        if connection.sender.is_ready() {
            pool.put_idle(addr, connection);
            return;
        }
        // The connection task has to see the end of the message first.
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.put_idle(addr, connection);
            }
        });
    }
}

/// Body of an answer. Dropping it before its end closes the connection, so a late rest of the
/// answer can never reach another request.
#[derive(Debug)]
pub(crate) struct PooledBody {
    body: Incoming,
    lease: Option<Lease>,
}

impl PooledBody {
    fn new(body: Incoming, lease: Lease) -> PooledBody {
        let mut this = PooledBody { body, lease: Some(lease) };
        if this.body.is_end_stream() {
            this.finish();
        }
        this
    }

    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if ended {
            self.finish();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
