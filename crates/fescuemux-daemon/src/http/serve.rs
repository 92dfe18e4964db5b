//! HTTP/1.1 server with limits and a graceful shutdown.

use super::body::OutgoingBody;
use super::limits::HttpLimits;
use super::strict_io::StrictIo;
use crate::stop::{StopPhase, StopSignal};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Minimum size in bytes of a read buffer that the HTTP library permits.
const MIN_READ_BUFFER_BYTES: usize = 8_192;

/// Options of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServeOptions {
    /// Limits on connections and messages.
    pub(crate) limits: HttpLimits,
    /// Name of the listener in logs.
    pub(crate) name: &'static str,
}

/// Bound socket of a server that has not started.
#[derive(Debug)]
pub(crate) struct Listener {
    listener: TcpListener,
}

impl Listener {
    /// Binds to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub(crate) async fn bind(addr: SocketAddr) -> io::Result<Listener> {
        Ok(Listener { listener: TcpListener::bind(addr).await? })
    }

    /// Returns the local address of the socket.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the stop signal reaches [`StopPhase::Closing`], and returns when all requests
    /// in flight have been answered.
    pub(crate) async fn serve<H, F>(self, options: ServeOptions, stop: StopSignal, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<OutgoingBody>> + Send + 'static,
    {
        let graceful = GracefulShutdown::new();
        let connection_permits = Arc::new(Semaphore::new(options.limits.max_connections));
        let mut closing = stop.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = closing.wait_for_phase(StopPhase::Closing) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Accepting fails when the process is out of file descriptors. The delay lets
                    // other connections end first.
                    tracing::warn!(listener = options.name, error = %e, "accept failed");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
                tracing::warn!(listener = options.name, "connection limit reached");
                continue;
            };
            spawn_connection(stream, permit, options, &graceful, stop.clone(), handler.clone());
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    options: ServeOptions,
    graceful: &GracefulShutdown,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<OutgoingBody>> + Send + 'static,
{
    let limits = options.limits;
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(StrictIo::new(stream, limits.max_head_bytes, limits.max_headers));
    let service = service_fn(move |req: Request<Incoming>| {
        let must_close = must_close_after(&req);
        let stop = stop.clone();
        let response = handler(req);
        async move {
            let mut response = response.await;
            if must_close || stop.phase() >= StopPhase::Leaving {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(io, service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(listener = options.name, error = %e, "connection failed");
        }
        drop(permit);
    });
}

/// Returns whether the connection must close after this request. [`StrictIo`] does not detect the
/// end of a chunked body, so it cannot check a head that follows the body.
fn must_close_after(req: &Request<Incoming>) -> bool {
    req.headers().contains_key(header::TRANSFER_ENCODING)
}
