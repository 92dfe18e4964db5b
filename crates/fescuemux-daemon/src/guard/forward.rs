//! Forwarding of admitted requests to a backend server over loopback.

use super::lease::SlotLease;
use super::refused::GuardError;
use super::server::GuardedServer;
use super::work::InFlightRequest;
use super::work_body::InFlightBody;
use crate::http::{
    ConnectionReuse, HttpLimits, OutgoingBody, Pool, PooledResponse, RelayLimits, SendError, empty,
    full, is_replayable, read_all, relay,
};
use fescuemux_core::base::{Verdict, is_refusal_status};
use fescuemux_core::detect::Outcome;
use fescuemux_http::DiscardRest;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopRequest, HopResponse};
use http::{HeaderMap, Request, Response, StatusCode, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout_at;

/// Forwards requests to backend servers.
#[derive(Debug)]
pub(super) struct Forwarder {
    pool: Arc<Pool>,
    limits: HttpLimits,
}

impl Forwarder {
    pub(super) fn new(pool: Arc<Pool>, limits: HttpLimits) -> Forwarder {
        Forwarder { pool, limits }
    }

    pub(super) fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Forwards a request. Returns the response, which is an error response if the request failed,
    /// and the verdict that the response carries.
    pub(super) async fn forward(
        &self,
        server: &Arc<GuardedServer>,
        hop: &HopRequest,
        req: Request<Incoming>,
    ) -> (Response<OutgoingBody>, Verdict) {
        match self.try_forward(server, hop, req).await {
            Ok(response) => response,
            Err(error) => {
                let (load, health) = server.load_and_health();
                let error = error.with_server_status(load, health);
                let verdict = error.verdict();
                (error.into_response(), verdict)
            }
        }
    }

    async fn try_forward(
        &self,
        server: &Arc<GuardedServer>,
        hop: &HopRequest,
        req: Request<Incoming>,
    ) -> Result<(Response<OutgoingBody>, Verdict), GuardError> {
        let deadline = Instant::now() + hop.deadline;
        let (parts, body) = req.into_parts();
        let body = self.receive_body(body, deadline).await?;
        let caller = caller_id(&parts.headers);
        let lease = server.admit(hop, deadline, &caller).await?;
        let req = build_request(parts, body, hop, deadline);
        self.send(lease, hop, req, deadline).await
    }

    /// Reads a body into memory before a slot is requested if the body is known to fit into
    /// [`HttpLimits::max_replay_bytes`], so that a slow ingress holds no slot. Other bodies are
    /// streamed once the server reads them.
    async fn receive_body(
        &self,
        body: Incoming,
        deadline: Instant,
    ) -> Result<OutgoingBody, GuardError> {
        if body.is_end_stream() {
            return Ok(empty());
        }
        let limits = RelayLimits {
            idle_timeout: self.limits.idle_timeout,
            max_bytes: self.limits.max_body_bytes,
        };
        if !is_replayable(&body.size_hint(), self.limits.max_replay_bytes) {
            return Ok(relay(DiscardRest::new(body), limits).boxed());
        }
        match timeout_at(deadline.into(), read_all(body, limits)).await {
            Ok(Ok(content)) => Ok(full(content)),
            Ok(Err(e)) => Err(GuardError::not_run(format!("the body did not arrive: {e}"))),
            Err(_) => Err(GuardError::too_late()),
        }
    }

    async fn send(
        &self,
        lease: SlotLease,
        hop: &HopRequest,
        req: Request<OutgoingBody>,
        deadline: Instant,
    ) -> Result<(Response<OutgoingBody>, Verdict), GuardError> {
        let addr = lease.server.address();
        // A server may close an idle connection at any time. It would then be unknown whether the
        // request ran, so only an idempotent request may reuse a connection.
        let reuse = if hop.idempotent { ConnectionReuse::Allowed } else { ConnectionReuse::Never };
        let in_flight = InFlightRequest::start(lease, hop.id);
        match timeout_at(deadline.into(), self.pool.send(addr, reuse, req)).await {
            Ok(Ok(response)) => self.process_response(in_flight, response, deadline).await,
            Ok(Err(e)) => Err(send_error(in_flight, &e)),
            Err(_) => {
                let latency = in_flight.elapsed();
                in_flight.finish(Outcome::DeadlineMissed, latency);
                Err(GuardError::timed_out())
            }
        }
    }

    async fn process_response(
        &self,
        in_flight: InFlightRequest,
        response: PooledResponse,
        deadline: Instant,
    ) -> Result<(Response<OutgoingBody>, Verdict), GuardError> {
        let (mut parts, body) = response.into_parts();
        if is_load_shed(&parts) {
            // A faulty server may send the refusal once more, as a response to the next request.
            body.close_connection();
            in_flight.finish(Outcome::Canceled, std::time::Duration::ZERO);
            return Err(GuardError::not_run("the server sheds load"));
        }
        let outcome = outcome_for_status(parts.status);
        let limits = RelayLimits {
            idle_timeout: self.limits.idle_timeout,
            max_bytes: self.limits.max_body_bytes,
        };
        let server = in_flight.server();
        let service_time = Some(in_flight.elapsed());
        let body = if is_replayable(&body.size_hint(), self.limits.max_replay_bytes) {
            let received = timeout_at(deadline.into(), read_all(body, limits)).await;
            let latency = in_flight.elapsed();
            match received {
                Ok(Ok(content)) => {
                    in_flight.finish(outcome, latency);
                    full(content)
                }
                Ok(Err(e)) => {
                    in_flight.finish(Outcome::Cut, latency);
                    return Err(GuardError::incomplete(format!("the answer was cut: {e}")));
                }
                Err(_) => {
                    in_flight.finish(Outcome::DeadlineMissed, latency);
                    return Err(GuardError::timed_out());
                }
            }
        } else {
            InFlightBody::new(relay(body, limits), in_flight, outcome).boxed()
        };
        strip_headers(&mut parts.headers);
        let (load, health) = server.load_and_health();
        let hop_response = HopResponse {
            verdict: Verdict::Ran,
            load: Some(load),
            health: Some(health),
            service_time,
        };
        hop_response.write(&mut parts.headers);
        Ok((Response::from_parts(parts, body), Verdict::Ran))
    }
}

/// Reports that a request could not be sent, or got no response, to the detector and returns the
/// error response.
fn send_error(in_flight: InFlightRequest, e: &SendError) -> GuardError {
    let latency = in_flight.elapsed();
    match e.verdict() {
        Verdict::NotRun => {
            in_flight.finish(Outcome::ConnectFailed, latency);
            GuardError::not_run(e.to_string())
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            in_flight.finish(Outcome::Cut, latency);
            GuardError::incomplete(e.to_string())
        }
    }
}

/// Returns whether the backend server refused the request and says that it has not run it. The
/// status alone proves nothing: a server in trouble may run a request and then refuse it.
fn is_load_shed(parts: &http::response::Parts) -> bool {
    let verdict = parts.headers.get(headers::VERDICT).map(|value| value.as_bytes());
    is_refusal_status(parts.status.as_u16()) && verdict == Some(Verdict::NotRun.as_str().as_bytes())
}

fn outcome_for_status(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::ServerError } else { Outcome::Ok }
}

fn build_request(
    mut parts: request::Parts,
    body: OutgoingBody,
    hop: &HopRequest,
    deadline: Instant,
) -> Request<OutgoingBody> {
    let caller = parts.headers.get(headers::CALLER).cloned();
    strip_headers(&mut parts.headers);
    if let Some(caller) = caller {
        parts.headers.insert(headers::CALLER, caller);
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    let insert = |header_map: &mut HeaderMap, name: &'static str, value: String| {
        if let Ok(value) = value.try_into() {
            header_map.insert(name, value);
        }
    };
    insert(&mut parts.headers, headers::REQUEST_ID, format!("{:032x}", hop.id));
    insert(&mut parts.headers, headers::DEADLINE_MS, remaining.as_millis().max(1).to_string());
    Request::from_parts(parts, body)
}

/// Removes fleet headers and hop-by-hop headers.
fn strip_headers(header_map: &mut HeaderMap) {
    crate::http::strip_connection_headers(header_map);
    crate::http::strip_fleet_headers(header_map);
}

fn caller_id(header_map: &HeaderMap) -> String {
    header_map
        .get(headers::CALLER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
