//! Ingress: accepts requests from callers and from the local backend server, sends each to the
//! guard of an instance and returns the response.

mod allowance;
mod attempt;
mod authentication;
mod caller_connection;
mod caller_stream;
mod early_requests;
mod exchange;
mod explain;
mod locality;
mod message_tracker;
mod pipelined_head;
mod request;
mod request_body;
mod reservation;
mod response;
mod response_body;
mod retry_loop;
#[cfg(test)]
mod tests;

use crate::memory::MemoryHold;
use crate::node::Node;
use bytes::Bytes;
use fescuemux_core::base::Verdict;
use fescuemux_core::locality::LeaveReason;
use fescuemux_core::memory::MemoryClass;
use http::{Response, StatusCode};
use hyper::body::{Body, Incoming};
use request::CallerRequest;
use request_body::{RequestBody, memory_exhausted};
use response::CallerResponse;
use response_body::ResponseBody;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

pub(crate) use caller_connection::serve;
pub(crate) use explain::explain;

/// `Retry-After` of a refusal whose wait cannot be estimated: about the time in which a server
/// restarts, or in which the other instances take over the load of a failed instance.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Handles one request, which arrived at `arrival`, and returns the response to send.
async fn handle(
    node: Rc<Node>,
    parts: http::request::Parts,
    body: Option<Incoming>,
    arrival: Instant,
) -> Response<ResponseBody> {
    let request = match CallerRequest::new(&node, &parts, arrival) {
        Ok(request) => request,
        Err(response) => return finish(&node, None, *response, &parts),
    };
    let disconnect_recorder = DisconnectRecorder { node: &node, request: &request };
    let response = respond(&node, &request, body).await;
    std::mem::forget(disconnect_recorder);
    if !response.status.is_success() {
        node.failed_requests.borrow_mut().add(node.now(), &request.request_id);
    }
    finish(&node, Some(&request), response, &parts)
}

/// Checks the allowance, reads the body and runs the attempts.
async fn respond(node: &Node, request: &CallerRequest, body: Option<Incoming>) -> CallerResponse {
    // Held until the response is known, so that a request that was not sent does not count.
    let _counted_request = match &request.account {
        Some(account) => match allowance::admit(node, request, account).await {
            Ok(counted_request) => counted_request,
            Err(response) => return *response,
        },
        None => None,
    };
    let limits = node.config.borrow().as_ref().map(|config| config.limits);
    let max_body_bytes = limits.map_or(u64::MAX, |limits| limits.body_bytes);
    let body_len = body.as_ref().map_or(Some(0), |body| body.size_hint().exact());
    let hold = Rc::new(hold_body(node, request, body_len));
    let read_body = async {
        match body {
            Some(body) => RequestBody::read(body, max_body_bytes, hold.clone()).await,
            None => Ok(RequestBody::buffered(Bytes::new(), hold.clone())),
        }
    };
    match tokio::time::timeout(request.time_left(node.now()), read_body).await {
        Ok(Ok(body)) => {
            tokio::select! {
                biased;
                response = retry_loop::run(node, request, body) => response,
                () = hold.released() => memory_released(request),
            }
        }
        Ok(Err(response)) => response,
        Err(_) => CallerResponse::refused(StatusCode::REQUEST_TIMEOUT, "body_timeout", None),
    }
}

/// Returns the holder of a request body of `len` bytes, if known.
fn hold_body(node: &Node, request: &CallerRequest, len: Option<u64>) -> MemoryHold {
    let class = match len {
        _ if request.nested => MemoryClass::Own,
        Some(len) if len <= MemoryClass::MAX_SMALL_BYTES => MemoryClass::Small,
        _ => MemoryClass::Bulk,
    };
    node.memory.hold(class, len)
}

/// Returns the response to a request that must give up its memory while it is under way.
fn memory_released(request: &CallerRequest) -> CallerResponse {
    if request.may_have_run.get() {
        return CallerResponse::outcome_unknown(StatusCode::BAD_GATEWAY, "memory");
    }
    memory_exhausted()
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
        priority = request.map_or(0, |request| request.priority),
        caller = request.and_then(CallerRequest::customer).unwrap_or_default(),
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
    if let Some(account) = request.and_then(|request| request.account.as_ref()) {
        let outcome = match response.verdict {
            Verdict::NotRun => "refused",
            _ if response.is_server_error() => "failed",
            _ => "served",
        };
        node.record_caller_request(account, outcome);
    }
    response.into_response(header_names.request_id, request_id)
}

/// Counts a request as in flight until dropped.
struct InFlightCount {
    node: Rc<Node>,
}

impl InFlightCount {
    fn new(node: Rc<Node>) -> InFlightCount {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        InFlightCount { node }
    }
}

impl Drop for InFlightCount {
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
            caller = request.customer().unwrap_or_default(),
            route = %request.policy.id,
            service = %request.service,
            sent = request.sent_attempts.get(),
            ms = self.node.now().saturating_duration_since(request.arrival).as_millis() as u64,
            left_ms = request.time_left(self.node.now()).as_millis() as u64
        );
        self.node.failed_requests.borrow_mut().add(self.node.now(), &request.request_id);
        if let Some(account) = &request.account {
            self.node.record_caller_request(account, "left");
        }
    }
}
