//! The ingress: takes requests of callers and of the own backend server, and answers them.

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
use request::Call;
use request_body::RequestBody;
use response::Answer;
use response_body::AnswerBody;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

pub(crate) use caller_connection::serve;

/// Time after which a caller may come back when nothing better is known: about a server's
/// restart or the return of a lost instance's load to the others.
const RETRY_IN: Duration = Duration::from_millis(800);

/// Answers one request.
async fn handle(node: Rc<Node>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrival = node.now();
    let _counted = InFlight::new(&node);
    let (parts, body) = req.into_parts();
    let call = match Call::new(&node, &parts, arrival) {
        Ok(call) => call,
        Err(answer) => return finish(&node, None, *answer, &parts),
    };
    let unanswered = Unanswered { node: &node, call: &call };
    let limits = node.config.borrow().as_ref().map(|config| config.limits);
    let limit = limits.map_or(u64::MAX, |limits| limits.body_bytes);
    let read = tokio::time::timeout_at(call.deadline.into(), RequestBody::read(body, limit)).await;
    let answer = match read {
        Ok(Ok(body)) => retry_loop::run(&node, &call, body).await,
        Ok(Err(answer)) => answer,
        Err(_) => Answer::refused(StatusCode::REQUEST_TIMEOUT, "body_timeout", None),
    };
    std::mem::forget(unanswered);
    if !answer.status.is_success() {
        node.failed_calls.borrow_mut().add(node.now(), &call.request_id);
    }
    finish(&node, Some(&call), answer, &parts)
}

/// Logs and counts an answer and puts it into the caller's protocol.
fn finish(
    node: &Node,
    call: Option<&Call>,
    answer: Answer,
    parts: &http::request::Parts,
) -> Response<AnswerBody> {
    let names = node.dialect.headers();
    let given_id = parts.headers.get(names.request_id).and_then(|id| id.to_str().ok());
    let id = given_id.unwrap_or_default();
    let status = answer.status.as_u16();
    let reason = answer.reason.unwrap_or("answered");
    let arrival = call.map(|call| call.arrival);
    let took = arrival.map_or(Duration::ZERO, |at| node.now().saturating_duration_since(at));
    let tried = call.and_then(|call| call.tried.borrow().last().cloned());
    info!(
        event = "request",
        request = id,
        route = call.map_or("", |call| call.policy.id.as_str()),
        service = call.map_or("", |call| call.service.as_str()),
        priority = call.map_or(0, |call| call.policy.priority),
        nested = call.is_some_and(|call| call.nested),
        lot = call.map_or(0, |call| call.lot),
        status,
        reason,
        verdict = %answer.verdict,
        peer = answer.peer.as_deref().or(tried.as_deref()).unwrap_or_default(),
        sent = call.map_or(0, |call| call.sent.get()),
        doubt = call.map_or(0.0, |call| call.doubt.get()),
        ms = took.as_millis() as u64,
        left_ms = call.map_or(0, |call| call.left(node.now()).as_millis() as u64),
        retry_ms = answer.retry_in.map_or(0, |retry| retry.as_millis() as u64),
        config = node.config_version()
    );
    let service = call.map_or("none", |call| call.service.as_str());
    node.metrics.on_request(service, status, reason, took);
    answer.into_response(names.request_id, id)
}

/// Counts a request while it is under way.
struct InFlight<'a> {
    node: &'a Node,
}

impl InFlight<'_> {
    fn new(node: &Node) -> InFlight<'_> {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        InFlight { node }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.node.metrics.in_flight.dec();
    }
}

/// Notes a request whose caller left before its answer; dropped with the request's work.
struct Unanswered<'a> {
    node: &'a Node,
    call: &'a Call,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        let call = self.call;
        info!(
            event = "caller_left",
            request = call.request_id,
            route = %call.policy.id,
            service = %call.service,
            sent = call.sent.get(),
            ms = self.node.now().saturating_duration_since(call.arrival).as_millis() as u64,
            left_ms = call.left(self.node.now()).as_millis() as u64
        );
        self.node.failed_calls.borrow_mut().add(self.node.now(), &call.request_id);
    }
}
