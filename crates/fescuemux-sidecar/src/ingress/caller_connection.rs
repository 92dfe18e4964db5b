//! HTTP connections from callers.

use super::handle;
use crate::node::Node;
use crate::serve::accept_connections;
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

/// Idle timeout while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Smallest read buffer of a connection; hyper panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept_connections(listener, move |stream| {
        tokio::task::spawn_local(serve_connection(node.clone(), stream));
    })
    .await;
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let activity = Rc::new(Activity {
        active_requests: Cell::new(0),
        last_activity: Cell::new(node.now()),
        request_started: Notify::new(),
    });
    let service = service_fn(|req: Request<Incoming>| {
        let (node, activity) = (node.clone(), activity.clone());
        async move {
            activity.active_requests.set(activity.active_requests.get() + 1);
            activity.request_started.notify_one();
            let response = handle(node.clone(), req).await;
            activity.active_requests.set(activity.active_requests.get() - 1);
            activity.last_activity.set(node.now());
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new();
    if let Some(config) = node.config.borrow().as_ref() {
        // Hyper responds to a longer head with 431.
        http.max_buf_size(config.limits.head_bytes.max(MIN_BUFFER_BYTES));
    }
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = node.stopping.subscribe();
    let mut stop_requested = false;
    let mut shutting_down = false;
    loop {
        // A stop does not close an idle connection: its next request may already be on the way
        // and is served before the connection is closed.
        if !shutting_down && stop_requested && activity.active_requests.get() > 0 {
            connection.as_mut().graceful_shutdown();
            shutting_down = true;
        }
        let idle_at = activity.last_activity.get() + idle_timeout(&node);
        tokio::select! {
            // On an error the caller has disconnected or violated the protocol, and hyper has
            // already responded.
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping), if !stop_requested => {
                stop_requested = true;
            }
            () = activity.request_started.notified() => {}
            () = tokio::time::sleep_until(idle_at.max(node.now()).into()), if !shutting_down => {
                if activity.active_requests.get() > 0 {
                    activity.last_activity.set(node.now());
                } else {
                    connection.as_mut().graceful_shutdown();
                    shutting_down = true;
                }
            }
        }
    }
}

/// Activity of a connection.
struct Activity {
    active_requests: Cell<usize>,
    last_activity: Cell<Instant>,
    /// Notifies the connection's task that a request has started.
    request_started: Notify,
}

fn idle_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits.idle_timeout)
}
