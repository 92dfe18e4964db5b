//! Sending of admitted requests to a backend server over loopback.

use super::lease::Lease;
use super::refused::Refused;
use super::server::GuardedServer;
use super::work::Work;
use super::work_body::WorkBody;
use crate::http::{
    ConnectionReuse, HttpLimits, OutgoingBody, Pool, PooledResponse, RelayLimits, SendError, empty,
    full, is_replayable, read_all, relay,
};
use fescuemux_core::base::Verdict;
use fescuemux_core::detect::Outcome;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopRequest, HopResponse};
use http::{HeaderMap, Request, Response, StatusCode, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout_at;

/// Sends requests to backend servers.
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

    /// Runs a request and returns its answer with the verdict that the answer carries.
    pub(super) async fn run(
        &self,
        server: &Arc<GuardedServer>,
        hop: &HopRequest,
        req: Request<Incoming>,
    ) -> (Response<OutgoingBody>, Verdict) {
        match self.try_run(server, hop, req).await {
            Ok(answer) => answer,
            Err(refused) => {
                let (load, health) = server.report();
                let refused = refused.with_server(load, health);
                let verdict = refused.verdict();
                (refused.into_response(), verdict)
            }
        }
    }

    async fn try_run(
        &self,
        server: &Arc<GuardedServer>,
        hop: &HopRequest,
        req: Request<Incoming>,
    ) -> Result<(Response<OutgoingBody>, Verdict), Refused> {
        let deadline = Instant::now() + hop.deadline;
        let (parts, body) = req.into_parts();
        let body = self.take_body(body, deadline).await?;
        let caller = caller_of(&parts.headers);
        let lease = server.admit(hop, deadline, &caller).await?;
        let req = outgoing(parts, body, hop, deadline);
        self.send(lease, hop, req, deadline).await
    }

    /// Takes small bodies into memory before a slot is asked for, so that a slow ingress holds
    /// no slot. Larger ones are relayed once the server takes them.
    async fn take_body(&self, body: Incoming, deadline: Instant) -> Result<OutgoingBody, Refused> {
        if body.is_end_stream() {
            return Ok(empty());
        }
        let limits = RelayLimits {
            idle_timeout: self.limits.idle_timeout,
            max_bytes: self.limits.max_body_bytes,
        };
        if !is_replayable(&body.size_hint(), self.limits.max_replay_bytes) {
            return Ok(relay(body, limits).boxed());
        }
        match timeout_at(deadline.into(), read_all(body, limits)).await {
            Ok(Ok(content)) => Ok(full(content)),
            Ok(Err(e)) => Err(Refused::not_run(format!("the body did not arrive: {e}"))),
            Err(_) => Err(Refused::too_late()),
        }
    }

    async fn send(
        &self,
        lease: Lease,
        hop: &HopRequest,
        req: Request<OutgoingBody>,
        deadline: Instant,
    ) -> Result<(Response<OutgoingBody>, Verdict), Refused> {
        let addr = lease.server.address();
        // An idle connection may be closed by the server at any time, and whether the request
        // ran would then be unknown.
        let reuse = if hop.idempotent { ConnectionReuse::Allowed } else { ConnectionReuse::Never };
        let work = Work::start(lease, hop.id);
        match timeout_at(deadline.into(), self.pool.send(addr, reuse, req)).await {
            Ok(Ok(answer)) => self.answer(work, answer, deadline).await,
            Ok(Err(e)) => Err(failed(work, &e)),
            Err(_) => {
                let latency = work.elapsed();
                work.finish(Outcome::DeadlineMissed, latency);
                Err(Refused::timed_out())
            }
        }
    }

    async fn answer(
        &self,
        work: Work,
        answer: PooledResponse,
        deadline: Instant,
    ) -> Result<(Response<OutgoingBody>, Verdict), Refused> {
        let (mut parts, body) = answer.into_parts();
        if is_shed(&parts) {
            work.finish(Outcome::Canceled, std::time::Duration::ZERO);
            return Err(Refused::not_run("the server sheds load"));
        }
        let outcome = outcome_of(parts.status);
        let limits = RelayLimits {
            idle_timeout: self.limits.idle_timeout,
            max_bytes: self.limits.max_body_bytes,
        };
        let server = work.server();
        let service_time = Some(work.elapsed());
        let body = if is_replayable(&body.size_hint(), self.limits.max_replay_bytes) {
            let collected = timeout_at(deadline.into(), read_all(body, limits)).await;
            let latency = work.elapsed();
            match collected {
                Ok(Ok(content)) => {
                    work.finish(outcome, latency);
                    full(content)
                }
                Ok(Err(e)) => {
                    work.finish(Outcome::Cut, latency);
                    return Err(Refused::broken(format!("the answer was cut: {e}")));
                }
                Err(_) => {
                    work.finish(Outcome::DeadlineMissed, latency);
                    return Err(Refused::timed_out());
                }
            }
        } else {
            WorkBody::new(relay(body, limits), work, outcome).boxed()
        };
        strip(&mut parts.headers);
        let (load, health) = server.report();
        let hop = HopResponse {
            verdict: Verdict::Ran,
            load: Some(load),
            health: Some(health),
            service_time,
        };
        hop.write(&mut parts.headers);
        Ok((Response::from_parts(parts, body), Verdict::Ran))
    }
}

fn failed(work: Work, e: &SendError) -> Refused {
    let latency = work.elapsed();
    match e.verdict() {
        Verdict::NotRun => {
            work.finish(Outcome::ConnectFailed, latency);
            Refused::not_run(e.to_string())
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            work.finish(Outcome::Cut, latency);
            Refused::broken(e.to_string())
        }
    }
}

/// Returns whether the server says itself that it did not start the request.
fn is_shed(parts: &http::response::Parts) -> bool {
    let verdict = parts.headers.get(headers::VERDICT).map(|value| value.as_bytes());
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && verdict == Some(Verdict::NotRun.as_str().as_bytes())
}

fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::ServerError } else { Outcome::Ok }
}

fn outgoing(
    mut parts: request::Parts,
    body: OutgoingBody,
    hop: &HopRequest,
    deadline: Instant,
) -> Request<OutgoingBody> {
    let caller = parts.headers.get(headers::CALLER).cloned();
    strip(&mut parts.headers);
    if let Some(caller) = caller {
        parts.headers.insert(headers::CALLER, caller);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let put = |map: &mut HeaderMap, name: &'static str, value: String| {
        if let Ok(value) = value.try_into() {
            map.insert(name, value);
        }
    };
    put(&mut parts.headers, headers::REQUEST_ID, format!("{:032x}", hop.id));
    put(&mut parts.headers, headers::DEADLINE_MS, left.as_millis().max(1).to_string());
    Request::from_parts(parts, body)
}

/// Removes the headers of the hop and those that belong to one connection.
fn strip(map: &mut HeaderMap) {
    crate::http::strip_connection_headers(map);
    crate::http::strip_fleet_headers(map);
}

fn caller_of(map: &HeaderMap) -> String {
    map.get(headers::CALLER).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
