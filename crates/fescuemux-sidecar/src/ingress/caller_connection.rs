//! HTTP connections from callers.

use super::{ResponseBody, handle};
use crate::memory::ConnectionPermit;
use crate::node::Node;
use crate::serve::accept_connections;
use fescuemux_core::memory::ConnectionKind;
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

/// Idle timeout of a connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum buffer size of a connection; hyper panics if it is set lower.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves connections from callers until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let serve = |stream, permit| serve_connection(node.clone(), stream, permit);
    accept_connections(&node, ConnectionKind::Caller, listener, serve).await;
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, permit: Rc<ConnectionPermit>) {
    let activity = Rc::new(Activity {
        active_requests: Cell::new(0),
        last_activity: Cell::new(node.now()),
        request_started: Notify::new(),
    });
    let service = service_fn(|req: Request<Incoming>| {
        let (node, activity) = (node.clone(), activity.clone());
        let active = permit.begin_request();
        async move {
            activity.active_requests.set(activity.active_requests.get() + 1);
            activity.request_started.notify_one();
            let response = handle(node.clone(), req).await;
            activity.active_requests.set(activity.active_requests.get() - 1);
            activity.last_activity.set(node.now());
            Ok::<_, Infallible>(ResponseBody::keep_active(response, active))
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
    let mut node_stopping = false;
    let mut closing = false;
    loop {
        // An idle connection is not closed at once when the process is stopping, because the next
        // request may already be in transit. It is closed after that request or its idle timeout.
        if !closing && node_stopping && activity.active_requests.get() > 0 {
            connection.as_mut().graceful_shutdown();
            closing = true;
        }
        let idle_at = activity.last_activity.get() + idle_timeout(&node);
        tokio::select! {
            // The connection has ended. An error needs no response: the caller has disconnected,
            // or hyper has already responded to the protocol violation.
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping), if !node_stopping => {
                node_stopping = true;
            }
            () = activity.request_started.notified() => {}
            () = tokio::time::sleep(idle_at.saturating_duration_since(node.now())), if !closing => {
                if activity.active_requests.get() > 0 {
                    activity.last_activity.set(node.now());
                } else {
                    connection.as_mut().graceful_shutdown();
                    closing = true;
                }
            }
        }
    }
}

/// Requests in progress on a connection, and the time of its last activity.
struct Activity {
    active_requests: Cell<usize>,
    last_activity: Cell<Instant>,
    /// Notifies the connection's task that a request has started.
    request_started: Notify,
}

fn idle_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits.idle_timeout)
}
