//! Pool of client connections, reused only after a complete response.

use super::body::OutgoingBody;
use bytes::Bytes;
use fescuemux_core::base::{HashMap, Verdict};
use fescuemux_http::{CheckedStream, ExchangeHandle, RequestMethod};
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

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 8;

/// Response whose connection returns to the pool once its body has been read to the end.
pub(crate) type PooledResponse = Response<PooledBody>;

/// Whether a request may go over a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// An idle connection may be reused.
    Allowed,
    /// A new connection is opened: the peer may close an idle connection at any time, and it would
    /// then be unknown whether the request ran.
    Never,
}

/// Failure to receive a response head.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No connection could be opened; no part of the request was sent.
    #[error("connecting failed: {0}")]
    Connect(String),
    /// The connection closed before the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// At least a part of the request was sent, and no response was received.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(String),
}

impl SendError {
    /// Returns whether the request may have run.
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
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// One connection. Dropping it closes the socket at once, so that the peer cancels the request.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<OutgoingBody>,
    /// Tells the check of responses which one comes next.
    exchange: ExchangeHandle,
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

    /// Sends a request and returns the response once its head has been received.
    ///
    /// # Errors
    ///
    /// Returns an error whose verdict tells whether the request may have run.
    pub(crate) async fn send(
        self: &Arc<Pool>,
        addr: SocketAddr,
        reuse: ConnectionReuse,
        mut req: http::Request<OutgoingBody>,
    ) -> Result<PooledResponse, SendError> {
        if reuse == ConnectionReuse::Allowed {
            while let Some(connection) = self.take_idle(addr) {
                match self.send_over(addr, connection, req).await {
                    Ok(response) => return Ok(response),
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
        let (stream, exchange) = CheckedStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| SendError::Connect(e.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "client connection failed");
            }
        });
        Ok(Connection { sender, exchange, task: task.abort_handle() })
    }

    async fn send_over(
        self: &Arc<Pool>,
        addr: SocketAddr,
        mut connection: Connection,
        req: http::Request<OutgoingBody>,
    ) -> Result<PooledResponse, (SendError, Option<Box<http::Request<OutgoingBody>>>)> {
        connection.exchange.begin(RequestMethod::from(req.method().as_str()));
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                let lease = ConnectionLease { pool: Arc::clone(self), addr, connection };
                Ok(response.map(|body| PooledBody::new(body, lease)))
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
        while let Some(IdleConnection { connection, since }) = connections.pop() {
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
        if connections.len() < MAX_IDLE_PER_ADDR {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections past the idle timeout, also of addresses that are no longer
    /// used.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|entry| entry.since.elapsed() < self.idle_timeout);
            !connections.is_empty()
        });
    }
}

#[derive(Debug)]
struct ConnectionLease {
    pool: Arc<Pool>,
    addr: SocketAddr,
    connection: Connection,
}

impl ConnectionLease {
    fn return_to_pool(self) {
        let ConnectionLease { pool, addr, mut connection } = self;
        if connection.sender.is_ready() {
            pool.put_idle(addr, connection);
            return;
        }
        // The connection becomes ready once its task has processed the end of the message.
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.put_idle(addr, connection);
            }
        });
    }
}

/// Response body. Dropping it before its end closes the connection, so that the rest of the
/// response cannot be mistaken for the response to another request. The connection is returned to
/// the pool at the end of the body, or when an empty body is dropped.
#[derive(Debug)]
pub(crate) struct PooledBody {
    body: Incoming,
    lease: Option<ConnectionLease>,
}

impl PooledBody {
    fn new(body: Incoming, lease: ConnectionLease) -> PooledBody {
        PooledBody { body, lease: Some(lease) }
    }

    /// Closes the connection, so that it carries no other request.
    pub(crate) fn close_connection(mut self) {
        self.lease = None;
    }

    fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.return_to_pool();
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.release();
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
            self.release();
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
