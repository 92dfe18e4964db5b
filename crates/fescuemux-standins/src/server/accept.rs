//! Accepts connections, and closes the listener while [`ServerFault::RefuseConnections`] is active.

use super::fault::ServerFault;
use super::handler::handle;
use super::shared::Shared;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

/// Maximum number of established connections that wait in the kernel to be accepted.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept or listen, for instance when file descriptors run out.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds a socket to `addr` without listening. Several such sockets can share an address as
/// long as at most one of them listens.
pub(super) fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Binds a socket to `addr` and listens on it.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    bind(addr)?.listen(BACKLOG)
}

/// Accepts connections until the task is aborted. `reserved_socket` keeps the port bound while
/// no socket listens on it.
pub(super) async fn accept_connections(
    shared: Arc<Shared>,
    reserved_socket: TcpSocket,
    listener: TcpListener,
) {
    let Ok(addr) = reserved_socket.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut fault_changes = shared.fault_schedule.subscribe();
    loop {
        let next_change = fault_changes.borrow_and_update().next_change(Instant::now());
        if shared.fault() == ServerFault::RefuseConnections {
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = listen(addr).ok();
        }
        let next_change = match (&listener, shared.fault()) {
            (None, fault) if fault != ServerFault::RefuseConnections => {
                Some(Instant::now() + RETRY_DELAY)
            }
            _ => next_change,
        };
        tokio::select! {
            changed = fault_changes.changed() => if changed.is_err() { return },
            () = sleep_until(next_change) => {}
            Some(_) = connections.join_next() => {}
            accepted = accept_next(listener.as_ref()) => match accepted {
                Ok(stream) => { connections.spawn(serve_connection(Arc::clone(&shared), stream)); }
                Err(_) => time::sleep(RETRY_DELAY).await,
            },
        }
    }
}

async fn accept_next(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => future::pending().await,
    }
}

async fn sleep_until(when: Option<Instant>) {
    match when {
        Some(when) => time::sleep_until(when.into()).await,
        None => future::pending().await,
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(Arc::clone(&shared), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(server = shared.options.server, %error, "connection ended");
    }
}
