//! Ingress: accepts requests from callers and from the local backend server, and responds to
//! them.

mod attempt;
mod caller_connection;
mod request;
mod request_body;
mod reservation;
mod response;
mod response_body;
mod retry_loop;

use crate::node::Node;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use request::CallerRequest;
use request_body::RequestBody;
use response::CallerResponse;
use response_body::ResponseBody;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

pub(crate) use caller_connection::serve;

/// `Retry-After` of a refusal without a better estimate: about the time in which a server
/// restarts or the other instances take over the load of a failed one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Handles one request and returns its response.
async fn handle(node: Rc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let arrival = node.now();
    let _in_flight = InFlightGuard::new(&node);
    let (parts, body) = req.into_parts();
    let request = match CallerRequest::new(&node, &parts, arrival) {
        Ok(request) => request,
        Err(response) => return finish(&node, None, *response, &parts),
    };
    let disconnect_guard = DisconnectGuard { node: &node, request: &request };
    let limits = node.config.borrow().as_ref().map(|config| config.limits);
    let limit = limits.map_or(u64::MAX, |limits| limits.body_bytes);
    let read_result =
        tokio::time::timeout_at(request.deadline.into(), RequestBody::read(body, limit)).await;
    let response = match read_result {
        Ok(Ok(body)) => retry_loop::run(&node, &request, body).await,
        Ok(Err(response)) => response,
        Err(_) => CallerResponse::refused(StatusCode::REQUEST_TIMEOUT, "body_timeout", None),
    };
    std::mem::forget(disconnect_guard);
    if !response.status.is_success() {
        node.failed_requests.borrow_mut().add(node.now(), &request.request_id);
    }
    finish(&node, Some(&request), response, &parts)
}

/// Logs a response, counts it in the metrics and converts it to HTTP.
fn finish(
    node: &Node,
    request: Option<&CallerRequest>,
    response: CallerResponse,
    parts: &http::request::Parts,
) -> Response<ResponseBody> {
    let names = node.dialect.headers();
    let given_id = parts.headers.get(names.request_id).and_then(|id| id.to_str().ok());
    let id = given_id.unwrap_or_default();
    let status = response.status.as_u16();
    let reason = response.reason.unwrap_or("answered");
    let arrival = request.map(|request| request.arrival);
    let elapsed = arrival.map_or(Duration::ZERO, |at| node.now().saturating_duration_since(at));
    let last_tried = request.and_then(|request| request.tried_instances.borrow().last().cloned());
    info!(
        event = "request",
        request = id,
        route = request.map_or("", |request| request.policy.id.as_str()),
        service = request.map_or("", |request| request.service.as_str()),
        priority = request.map_or(0, |request| request.policy.priority),
        nested = request.is_some_and(|request| request.nested),
        lot = request.map_or(0, |request| request.tie_breaker),
        status,
        reason,
        verdict = %response.verdict,
        peer = response.peer.as_deref().or(last_tried.as_deref()).unwrap_or_default(),
        sent = request.map_or(0, |request| request.sent_attempts.get()),
        doubt = request.map_or(0.0, |request| request.failure_probability.get()),
        ms = elapsed.as_millis() as u64,
        left_ms = request.map_or(0, |request| request.time_left(node.now()).as_millis() as u64),
        retry_ms = response.retry_after.map_or(0, |retry| retry.as_millis() as u64),
        config = node.config_version()
    );
    let service = request.map_or("none", |request| request.service.as_str());
    node.metrics.record_request(service, status, reason, elapsed);
    response.into_response(names.request_id, id)
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a> {
    node: &'a Node,
}

impl InFlightGuard<'_> {
    fn new(node: &Node) -> InFlightGuard<'_> {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        InFlightGuard { node }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.node.metrics.in_flight.dec();
    }
}

/// Logs a request whose caller disconnected before the response. Hyper then drops the request's
/// future, and this guard with it.
struct DisconnectGuard<'a> {
    node: &'a Node,
    request: &'a CallerRequest,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let request = self.request;
        info!(
            event = "caller_left",
            request = request.request_id,
            route = %request.policy.id,
            service = %request.service,
            sent = request.sent_attempts.get(),
            ms = self.node.now().saturating_duration_since(request.arrival).as_millis() as u64,
            left_ms = request.time_left(self.node.now()).as_millis() as u64
        );
        self.node.failed_requests.borrow_mut().add(self.node.now(), &request.request_id);
    }
}
