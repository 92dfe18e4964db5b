//! Accepts connections, and refuses them while the fault says so.

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

/// Length of the queue of connections that the kernel has accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept or listen, which happens when file descriptors run out.
const RETRY: Duration = Duration::from_millis(10);

/// Binds a socket to `addr` without listening. Several such sockets can share an address as
/// long as at most one of them listens.
pub(super) fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Starts to listen on `addr`.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    bind(addr)?.listen(BACKLOG)
}

/// Accepts connections for ever. `reserved` keeps the port while no socket listens on it.
pub(super) async fn accept(shared: Arc<Shared>, reserved: TcpSocket, listener: TcpListener) {
    let Ok(addr) = reserved.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut faults = shared.faults.subscribe();
    loop {
        let next_change = faults.borrow_and_update().next_change(Instant::now());
        if shared.fault() == ServerFault::RefuseConnections {
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = listen(addr).ok();
        }
        let next_change = match (&listener, shared.fault()) {
            (None, fault) if fault != ServerFault::RefuseConnections => {
                Some(Instant::now() + RETRY)
            }
            _ => next_change,
        };
        tokio::select! {
            changed = faults.changed() => if changed.is_err() { return },
            () = sleep_until(next_change) => {}
            Some(_) = connections.join_next() => {}
            accepted = accept_one(listener.as_ref()) => match accepted {
                Ok(stream) => { connections.spawn(serve(Arc::clone(&shared), stream)); }
                Err(_) => time::sleep(RETRY).await,
            },
        }
    }
}

async fn accept_one(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
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

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
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
