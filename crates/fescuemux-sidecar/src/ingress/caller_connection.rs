//! HTTP connections from callers.

use super::caller_stream::CallerStream;
use super::early_requests::{ConnectionError, Pipeline, Turn};
use super::{InFlightCount, ResponseBody, handle};
use crate::memory::ConnectionPermit;
use crate::node::Node;
use crate::serve::accept_connections;
use bytes::Bytes;
use fescuemux_core::memory::ConnectionKind;
use http::{HeaderValue, Request, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Idle timeout of a connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time from the first to the last byte of a head while there is no configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of bytes that are read ahead while there is no configuration.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Minimum buffer size of a connection; hyper panics if it is set lower.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves connections from callers until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let serve = |stream, permit| serve_connection(node.clone(), stream, permit);
    accept_connections(&node, ConnectionKind::Caller, listener, serve).await;
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, permit: Rc<ConnectionPermit>) {
    let pipeline = Rc::new(Pipeline::new(node.clone()));
    let activity =
        Rc::new(Activity { active_requests: Cell::new(0), last_activity: Cell::new(node.now()) });
    let service = service_fn(|req: Request<Incoming>| {
        let (node, activity, pipeline) = (node.clone(), activity.clone(), pipeline.clone());
        let (parts, body) = req.into_parts();
        let active = permit.begin_request();
        let turn = pipeline.on_request(&parts, &body);
        activity.active_requests.set(activity.active_requests.get() + 1);
        pipeline.changed.notify_one();
        async move {
            let response = match turn? {
                Turn::Started(task) => {
                    let mut response = task.finish().await?;
                    // The response may have waited, so that the connection's task does not see that
                    // its request is in progress.
                    if *node.stopping.borrow() && !pipeline.has_early_requests() {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(header::CONNECTION, close);
                    }
                    response
                }
                Turn::New { arrival } => {
                    let _in_flight_count = InFlightCount::new(node.clone());
                    handle(node.clone(), parts, Some(body), arrival).await
                }
            };
            activity.active_requests.set(activity.active_requests.get() - 1);
            activity.last_activity.set(node.now());
            let response = ResponseBody::keep_active(response, active);
            Ok::<_, ConnectionError>(response.map(|body| OrderedBody { body, pipeline }))
        }
    });
    let mut http = http1::Builder::new();
    let mut max_head_bytes = DEFAULT_HEAD_BYTES;
    if let Some(config) = node.config.borrow().as_ref() {
        max_head_bytes = config.limits.head_bytes.max(MIN_BUFFER_BYTES);
        // Hyper responds to a longer head with 431.
        http.max_buf_size(max_head_bytes);
    }
    let stream = CallerStream::new(stream, pipeline.clone(), max_head_bytes);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = node.stopping.subscribe();
    let mut node_stopping = false;
    let mut closing = false;
    loop {
        // An idle connection is not closed at once when the process is stopping, because the next
        // request may already be in transit. It is closed after that request or its idle timeout.
        // Requests that have started early are answered first.
        let has_early_requests = pipeline.has_early_requests();
        if !closing && node_stopping && activity.active_requests.get() > 0 && !has_early_requests {
            connection.as_mut().graceful_shutdown();
            closing = true;
        }
        let head_end_at = pipeline.head_started_at.get().map(|at| at + head_timeout(&node));
        let idle_at = activity.last_activity.get() + idle_timeout(&node);
        tokio::select! {
            // The connection has ended. An error needs no response: the caller has disconnected,
            // or hyper has already responded to the protocol violation.
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping), if !node_stopping => {
                node_stopping = true;
            }
            () = pipeline.changed.notified() => {}
            // The caller takes too long to send a head.
            () = sleep_until(&node, head_end_at), if head_end_at.is_some() => return,
            () = tokio::time::sleep(idle_at.saturating_duration_since(node.now())), if !closing => {
                if activity.active_requests.get() > 0 || has_early_requests {
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
}

/// Response body that makes way for the next request on the connection when it is dropped.
struct OrderedBody {
    body: ResponseBody,
    pipeline: Rc<Pipeline>,
}

impl Body for OrderedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for OrderedBody {
    fn drop(&mut self) {
        self.pipeline.on_response_end();
    }
}

/// Waits until `at`, if there is such a time.
async fn sleep_until(node: &Node, at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep(at.saturating_duration_since(node.now())).await;
    }
}

fn idle_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits.idle_timeout)
}

fn head_timeout(node: &Node) -> Duration {
    node.config.borrow().as_ref().map_or(DEFAULT_HEAD_TIMEOUT, |config| config.limits.head_timeout)
}
