//! TCP accept loop, and simple HTTP endpoints, which buffer requests and responses completely.

use crate::memory::ConnectionPermit;
use crate::node::Node;
use bytes::Bytes;
use fescuemux_core::memory::ConnectionKind;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tracing::{info, warn};

/// Pause after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Receive buffer of a connection while many are open; the kernel doubles it.
const CROWDED_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum request body size of a simple endpoint.
const MAX_SIMPLE_BODY_BYTES: usize = 64 * 1024;

/// Response of a simple endpoint, with a fully buffered body.
pub(crate) type SimpleResponse = Response<Full<Bytes>>;

/// Handler of the requests of a simple endpoint.
pub(crate) trait SimpleHandler:
    AsyncFn(&Node, &Request<()>, &[u8]) -> SimpleResponse + Copy + 'static
{
}

impl<H: AsyncFn(&Node, &Request<()>, &[u8]) -> SimpleResponse + Copy + 'static> SimpleHandler
    for H
{
}

/// Accepts connections and serves each with `serve` until it ends or the process must close it
/// because it is idle and others need its place. Runs until the process ends.
pub(crate) async fn accept_connections<F: Future<Output = ()> + 'static>(
    node: &Node,
    kind: ConnectionKind,
    listener: TcpListener,
    serve: impl Fn(TcpStream, Rc<ConnectionPermit>) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let permit = Rc::new(node.memory.admit_connection(kind).await);
                if node.memory.is_crowded(kind) {
                    bound_receive_buffer(&stream);
                }
                if let Err(e) = stream.set_nodelay(true) {
                    info!(event = "connection_lost", error = %e);
                    continue;
                }
                let served = serve(stream, permit.clone());
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = served => {}
                        () = permit.closed() => {}
                    }
                });
            }
            Err(e) => {
                warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Bounds what the kernel receives for a connection that is not read.
fn bound_receive_buffer(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_recv_buffer_size(CROWDED_RECEIVE_BUFFER_BYTES) {
        info!(event = "receive_buffer_not_set", error = %e);
    }
}

/// Spawns an HTTP server whose requests are handled by `handler`.
pub(crate) fn serve_simple(
    node: Rc<Node>,
    kind: ConnectionKind,
    listener: TcpListener,
    handler: impl SimpleHandler,
) {
    let serve_node = node.clone();
    let serve = move |stream, _permit| {
        let node = serve_node.clone();
        async move {
            let service = service_fn(|req: Request<Incoming>| {
                let node = node.clone();
                async move { Ok::<_, hyper::Error>(handle_simple(&node, req, handler).await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                info!(event = "connection_ended", error = %e);
            }
        }
    };
    tokio::task::spawn_local(async move {
        accept_connections(&node, kind, listener, serve).await;
    });
}

async fn handle_simple(
    node: &Node,
    req: Request<Incoming>,
    handler: impl SimpleHandler,
) -> SimpleResponse {
    let (parts, body) = req.into_parts();
    match Limited::new(body, MAX_SIMPLE_BODY_BYTES).collect().await {
        Ok(body) => handler(node, &Request::from_parts(parts, ()), &body.to_bytes()).await,
        Err(e) => {
            info!(event = "control_body_failed", error = %e);
            text_response(StatusCode::BAD_REQUEST, "body")
        }
    }
}

/// Returns a response with a text body.
pub(crate) fn text_response(status: StatusCode, body: &'static str) -> SimpleResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Binds a listener.
///
/// # Errors
/// Fails if the address cannot be bound.
pub(crate) async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen on {addr}"))
}
