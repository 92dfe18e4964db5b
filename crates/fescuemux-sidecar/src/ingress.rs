//! Ingress: accepts requests from callers and from the local backend server, sends each to the
//! guard of an instance and returns the response.

mod attempt;
mod caller_connection;
mod exchange;
mod explain;
mod locality;
mod request;
mod request_body;
mod reservation;
mod response;
mod response_body;
mod retry_loop;
#[cfg(test)]
mod tests;

use crate::node::Node;
use fescuemux_core::locality::LeaveReason;
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
pub(crate) use explain::explain;

/// `Retry-After` of a refusal whose wait cannot be estimated: about the time in which a server
/// restarts, or in which the other instances take over the load of a failed instance.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Handles one request and returns the response to send.
async fn handle(node: Rc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let arrival = node.now();
    let _in_flight_count = InFlightCount::new(&node);
    let (parts, body) = req.into_parts();
    let request = match CallerRequest::new(&node, &parts, arrival) {
        Ok(request) => request,
        Err(response) => return finish(&node, None, *response, &parts),
    };
    let disconnect_recorder = DisconnectRecorder { node: &node, request: &request };
    let limits = node.config.borrow().as_ref().map(|config| config.limits);
    let max_body_bytes = limits.map_or(u64::MAX, |limits| limits.body_bytes);
    let time_left = request.time_left(node.now());
    let read_result =
        tokio::time::timeout(time_left, RequestBody::read(body, max_body_bytes)).await;
    let response = match read_result {
        Ok(Ok(body)) => retry_loop::run(&node, &request, body).await,
        Ok(Err(response)) => response,
        Err(_) => CallerResponse::refused(StatusCode::REQUEST_TIMEOUT, "body_timeout", None),
    };
    std::mem::forget(disconnect_recorder);
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
    let header_names = node.dialect.headers();
    let request_id = parts.headers.get(header_names.request_id).and_then(|id| id.to_str().ok());
    let request_id = request_id.unwrap_or_default();
    let status = response.status.as_u16();
    let reason = response.reason.unwrap_or("answered");
    let arrival = request.map(|request| request.arrival);
    let elapsed = arrival.map_or(Duration::ZERO, |at| node.now().saturating_duration_since(at));
    let last_tried_instance =
        request.and_then(|request| request.tried_instances.borrow().last().cloned());
    let peer = response.peer.clone().or(last_tried_instance).unwrap_or_default();
    let domain = node.directory.borrow().get(&peer).map(|peer| peer.domain.clone());
    info!(
        event = "request",
        request = request_id,
        route = request.map_or("", |request| request.policy.id.as_str()),
        service = request.map_or("", |request| request.service.as_str()),
        priority = request.map_or(0, |request| request.policy.priority),
        nested = request.is_some_and(|request| request.nested),
        tie_breaker = request.map_or(0, |request| request.tie_breaker),
        status,
        reason,
        verdict = %response.verdict,
        peer = %peer,
        domain = domain.as_deref().unwrap_or_default(),
        left_home = response.left_home.map_or("", LeaveReason::as_str),
        sent = request.map_or(0, |request| request.sent_attempts.get()),
        failure_probability = request.map_or(0.0, |request| request.failure_probability.get()),
        ms = elapsed.as_millis() as u64,
        left_ms = request.map_or(0, |request| request.time_left(node.now()).as_millis() as u64),
        retry_ms = response.retry_after.map_or(0, |retry| retry.as_millis() as u64),
        config = node.config_version()
    );
    let service = request.map_or("none", |request| request.service.as_str());
    node.metrics.record_request(service, status, reason, elapsed);
    response.into_response(header_names.request_id, request_id)
}

/// Counts a request as in flight until dropped.
struct InFlightCount<'a> {
    node: &'a Node,
}

impl InFlightCount<'_> {
    fn new(node: &Node) -> InFlightCount<'_> {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        InFlightCount { node }
    }
}

impl Drop for InFlightCount<'_> {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.node.metrics.in_flight.dec();
    }
}

/// Logs a request and records it as failed if its caller disconnects before the response: hyper
/// then drops the request's future, which drops this value.
struct DisconnectRecorder<'a> {
    node: &'a Node,
    request: &'a CallerRequest,
}

impl Drop for DisconnectRecorder<'_> {
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
