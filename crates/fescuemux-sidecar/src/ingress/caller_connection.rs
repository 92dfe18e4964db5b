//! Connections of callers.

use super::handle;
use crate::node::Node;
use crate::serve::accept;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Idle timeout before a configuration states one.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Smallest buffer of a connection, in bytes; the HTTP library takes no smaller one.
const MIN_BUFFER: usize = 8 * 1024;

/// Serves callers until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept(listener, move |stream| {
        tokio::task::spawn_local(serve_connection(node.clone(), stream));
    })
    .await;
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let active = Rc::new(Activity {
        busy: Cell::new(0),
        since: Cell::new(node.now()),
        begun: Notify::new(),
    });
    let service = service_fn(|req: Request<Incoming>| {
        let (node, active) = (node.clone(), active.clone());
        async move {
            active.busy.set(active.busy.get() + 1);
            active.begun.notify_one();
            let response = handle(node.clone(), req).await;
            active.busy.set(active.busy.get() - 1);
            active.since.set(node.now());
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new();
    if let Some(config) = node.config.borrow().as_ref() {
        // A longer head is answered with 431.
        http.max_buf_size(config.limits.head_bytes.max(MIN_BUFFER));
    }
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = node.stopping.subscribe();
    let mut stops = false;
    let mut ending = false;
    loop {
        // A connection without a request is not closed by a stop: its next request may be on
        // its way, and is answered before the connection ends.
        if !ending && stops && active.busy.get() > 0 {
            connection.as_mut().graceful_shutdown();
            ending = true;
        }
        let idle_at = active.since.get() + idle_timeout(&node);
        tokio::select! {
            // An error here is a caller that left or broke the protocol; hyper has answered it.
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping), if !stops => stops = true,
            () = active.begun.notified() => {}
            () = tokio::time::sleep_until(idle_at.max(node.now()).into()), if !ending => {
                if active.busy.get() > 0 {
                    active.since.set(node.now());
                } else {
                    connection.as_mut().graceful_shutdown();
                    ending = true;
                }
            }
        }
    }
}

/// What happens on a connection.
struct Activity {
    busy: Cell<usize>,
    since: Cell<Instant>,
    /// Wakes the connection's task when a request begins.
    begun: Notify,
}

fn idle_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_IDLE, |config| config.limits.idle_timeout)
}
