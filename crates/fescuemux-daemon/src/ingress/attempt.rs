//! Attempts of one request at backend servers.

use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::sent::Sent;
use super::service_parts::ServiceParts;
use super::{ErrorResponse, Ingress, PeerEndpoint};
use crate::http::{
    ConnectionReuse, OutgoingBody, PooledResponse, RelayLimits, full, is_replayable, read_all,
    relay, strip_connection_headers, strip_fleet_headers,
};
use fescuemux_core::base::{InstanceId, ServerHealth, ServerId, Verdict};
use fescuemux_core::retry::{Attempt, RetryDecision};
use fescuemux_core::route::{AttemptAnswer, Choice, RouteQuery, ServerLoad};
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopHealth, HopRequest, HopResponse, sign_request, verify_response};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version, header};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Part of the remaining time that stays with the ingress, so that the guard's own answer to a
/// missed deadline still arrives and its verdict is known.
const HOP_MARGIN: Duration = Duration::from_millis(10);

/// Most times that a request goes elsewhere without charge to the retry budget, because a guard
/// declined it for the health of its server. Such a refusal costs the server nothing and tells
/// the router what it did not know.
const MAX_REDIRECTS: u8 = 2;

/// Wait that callers are asked for after a refusal. By then most refusals for health or load have
/// been routed around.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of one attempt.
pub(super) enum Attempted {
    /// The backend server's answer.
    Response(Response<OutgoingBody>),
    /// A complete answer that says that the server failed.
    ServerError(Response<OutgoingBody>),
    /// No answer.
    Failed(ErrorResponse),
    /// The guard declined the request for the health of its server; it did not run.
    Declined(ErrorResponse),
    /// The guard could not be reached, or its answer did not arrive.
    PathFailed(ErrorResponse),
}

/// Servers and instances that a request has been to.
#[derive(Debug, Default)]
pub(super) struct Tried {
    servers: Vec<ServerId>,
    instances: Vec<InstanceId>,
    /// Strongest verdict of the attempts before the last one.
    earlier: Option<Verdict>,
    attempts: u8,
    redirects: u8,
}

impl Tried {
    /// Notes an attempt and returns its number.
    pub(super) fn begin(&mut self, choice: &Choice) -> u8 {
        let number = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        self.servers.push(choice.server.clone());
        number
    }

    pub(super) fn path_failed(&mut self, choice: &Choice) {
        self.instances.push(choice.instance.clone());
    }

    /// Notes what an attempt says that another one follows or accompanies. The caller is told
    /// the strongest verdict of all.
    pub(super) fn note_verdict(&mut self, verdict: Verdict) {
        self.earlier = self.earlier.max(Some(verdict));
    }

    /// Returns the strongest verdict noted.
    pub(super) fn earlier(&self) -> Verdict {
        self.earlier.unwrap_or(Verdict::NotRun)
    }
}

impl Attempted {
    /// Returns what the attempt says about the request.
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            Attempted::Response(_) | Attempted::ServerError(_) => Verdict::Ran,
            Attempted::Failed(failure)
            | Attempted::Declined(failure)
            | Attempted::PathFailed(failure) => failure.verdict,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Attempted::Response(_) | Attempted::ServerError(_) => None,
            Attempted::Failed(failure)
            | Attempted::Declined(failure)
            | Attempted::PathFailed(failure) => failure.retry_after,
        }
    }
}

impl Ingress {
    /// Sends a request to backend servers until one answers or no further attempt is permitted.
    pub(super) async fn run(
        &self,
        req: &IncomingRequest,
        body: &mut CallerBody,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let parts = self.parts(&req.service);
        parts.on_request();
        let mut tried = Tried::default();
        loop {
            let Some(choice) = self.choose(req, &tried) else {
                let reason = "no backend server can take the request";
                return Err(match tried.earlier() {
                    Verdict::NotRun => ErrorResponse::unavailable(reason),
                    Verdict::MayHaveRun | Verdict::Ran => ErrorResponse::broken(reason),
                });
            };
            let attempted = self.attempt_hedged(req, body, &parts, &choice, &mut tried).await;
            let (verdict, retry_after) = (attempted.verdict(), attempted.retry_after());
            if let Attempted::Response(answer) = attempted {
                return Ok(answer);
            }
            if matches!(attempted, Attempted::Declined(_)) && self.may_redirect(body, &mut tried) {
                self.cx.metrics.count_attempt(&req.service.id, "redirected");
                continue;
            }
            match parts.decide(&attempt_of(req, body, &parts, &tried, verdict, retry_after)) {
                RetryDecision::Retry { after } => {
                    tokio::time::sleep(after).await;
                    tried.note_verdict(verdict);
                    self.cx.metrics.count_attempt(&req.service.id, "retried");
                }
                RetryDecision::GiveUp { verdict, .. } => {
                    return give_up(attempted, verdict);
                }
            }
        }
    }

    fn may_redirect(&self, body: &CallerBody, tried: &mut Tried) -> bool {
        if !body.is_whole() || tried.redirects >= MAX_REDIRECTS {
            return false;
        }
        tried.redirects += 1;
        true
    }

    pub(super) fn choose(&self, req: &IncomingRequest, tried: &Tried) -> Option<Choice> {
        let mut query = RouteQuery {
            service: &req.service.id,
            idempotent: req.idempotent,
            excluded_servers: &tried.servers,
            excluded_instances: &tried.instances,
        };
        self.router.with(|cx, router| {
            if let Some(choice) = router.choose(cx, &query) {
                return Some(choice);
            }
            // With every server tried, a second visit beats no answer.
            query.excluded_servers = &[];
            query.excluded_instances = &[];
            router.choose(cx, &query)
        })
    }

    pub(super) async fn attempt(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        parts: &ServiceParts,
        choice: &Choice,
        number: u8,
    ) -> Attempted {
        let Some(peer) = self.directory.get(&choice.instance) else {
            return Attempted::Failed(ErrorResponse::unavailable(
                "the instance is no longer known",
            ));
        };
        let (outgoing, mac) = self.outgoing(req, body, parts, choice, peer, number);
        let sent = Sent::new(&self.router, choice);
        let started = Instant::now();
        let sending = self.pool.send(peer.hop, ConnectionReuse::Allowed, outgoing);
        let answer = match timeout_at(req.deadline.into(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                sent.path_failed();
                self.cx.metrics.count_attempt(&req.service.id, "path failed");
                let mut failure = ErrorResponse::broken(e.to_string());
                failure.verdict = e.verdict();
                if failure.verdict == Verdict::NotRun {
                    failure.status = StatusCode::SERVICE_UNAVAILABLE;
                }
                return Attempted::PathFailed(failure);
            }
            Err(_) => {
                sent.path_failed();
                self.cx.metrics.count_attempt(&req.service.id, "path timed out");
                return Attempted::PathFailed(ErrorResponse::timed_out(Verdict::MayHaveRun));
            }
        };
        self.take_answer(req, parts, choice, sent, started, &mac, answer).await
    }

    /// Checks that an answer belongs to the request and reports it to the router.
    #[expect(clippy::too_many_arguments, reason = "all belong to one attempt")]
    async fn take_answer(
        &self,
        req: &IncomingRequest,
        parts: &ServiceParts,
        choice: &Choice,
        sent: Sent<'_>,
        started: Instant,
        mac: &str,
        answer: PooledResponse,
    ) -> Attempted {
        let status = answer.status();
        let verified = verify_response(&self.cx.keys, mac, status.as_u16(), answer.headers());
        let hop = verified.and_then(|()| HopResponse::try_from(answer.headers()));
        let hop = match hop {
            Ok(hop) => hop,
            Err(e) => {
                tracing::warn!(instance = %choice.instance, error = %e, "refused an answer");
                sent.path_failed();
                self.cx.metrics.count_attempt(&req.service.id, "answer refused");
                let reason = "the guard's answer is not authentic";
                return Attempted::PathFailed(ErrorResponse::broken(reason));
            }
        };
        sent.answered(AttemptAnswer {
            verdict: hop.verdict,
            latency: started.elapsed(),
            load: hop.load.map(load_of),
            health: hop.health.map(ServerHealth::from),
        });
        self.cx.metrics.count_attempt(&req.service.id, hop.verdict.as_str());
        if hop.verdict != Verdict::Ran {
            let declined = hop.health.is_some_and(|health| health != HopHealth::Serving);
            let failure = refusal(&answer, hop.verdict);
            return match hop.verdict {
                Verdict::NotRun if declined => Attempted::Declined(failure),
                _ => Attempted::Failed(failure),
            };
        }
        let ok = !status.is_server_error();
        if let Some(time) = hop.service_time {
            parts.on_answer(&choice.server, time, ok);
        }
        match self.pass_on(req, answer).await {
            Ok(answer) if ok => Attempted::Response(answer),
            Ok(answer) => Attempted::ServerError(answer),
            Err(failure) => Attempted::Failed(failure),
        }
    }

    /// Turns a hop's answer into the caller's. Small bodies are read whole, so that a cut answer
    /// never looks like an answer; larger ones are relayed and cut off when their source is.
    async fn pass_on(
        &self,
        req: &IncomingRequest,
        answer: PooledResponse,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let (mut parts, body) = answer.into_parts();
        let limits = &self.cx.limits;
        let pump =
            RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
        let body = if is_replayable(&body.size_hint(), limits.max_replay_bytes) {
            match timeout_at(req.deadline.into(), read_all(body, pump)).await {
                Ok(Ok(content)) => full(content),
                Ok(Err(e)) => {
                    return Err(ErrorResponse::broken(format!("the answer was cut: {e}")));
                }
                Err(_) => return Err(ErrorResponse::timed_out(Verdict::MayHaveRun)),
            }
        } else {
            relay(body, pump).boxed()
        };
        strip_connection_headers(&mut parts.headers);
        strip_fleet_headers(&mut parts.headers);
        let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
        parts.headers.insert(headers::VERDICT, verdict);
        parts.version = Version::HTTP_11;
        Ok(Response::from_parts(parts, body))
    }

    /// Builds the hop request and returns it with its tag.
    fn outgoing(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        parts: &ServiceParts,
        choice: &Choice,
        peer: PeerEndpoint,
        attempt: u8,
    ) -> (Request<OutgoingBody>, String) {
        let mut map = req.parts.headers.clone();
        let caller = map.get(headers::CALLER).cloned();
        strip_connection_headers(&mut map);
        strip_fleet_headers(&mut map);
        if let Some(caller) = caller {
            map.insert(headers::CALLER, caller);
        }
        let left = req.deadline.saturating_duration_since(self.cx.clock.now());
        let hop = HopRequest {
            id: req.id,
            attempt,
            server: choice.server.clone(),
            incarnation: peer.incarnation,
            deadline: left.saturating_sub(HOP_MARGIN.min(left / 2)),
            kind: choice.kind.into(),
            idempotent: req.idempotent,
            priority: req.service.priority,
            baseline: parts.baseline(),
        };
        hop.write(&mut map);
        let (body, invitation) = body.outgoing();
        let wall = self.cx.clock.wall();
        sign_request(&self.cx.keys, wall, &req.parts.method, req.target(), &mut map);
        let mac = text_of(&map, headers::MAC);
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = req.parts.method.clone();
        *outgoing.uri_mut() = Uri::try_from(req.target()).unwrap_or_default();
        *outgoing.headers_mut() = map;
        if let Some(invitation) = invitation {
            await_invitation(&mut outgoing, invitation);
        }
        (outgoing, mac)
    }
}

/// Asks the guard to invite the body (RFC 9110, section 10.1.1), so that a refused upload is not
/// spent and can go to another server.
fn await_invitation(req: &mut Request<OutgoingBody>, invitation: oneshot::Sender<()>) {
    req.headers_mut().insert(header::EXPECT, HeaderValue::from_static("100-continue"));
    let invitation = Mutex::new(Some(invitation));
    hyper::ext::on_informational(req, move |informational| {
        if informational.status() != StatusCode::CONTINUE {
            return;
        }
        let mut invitation = invitation.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(invitation) = invitation.take() {
            let _ = invitation.send(());
        }
    });
}

pub(super) fn attempt_of(
    req: &IncomingRequest,
    body: &CallerBody,
    parts: &Arc<ServiceParts>,
    tried: &Tried,
    verdict: Verdict,
    retry_after: Option<Duration>,
) -> Attempt {
    Attempt {
        verdict,
        previous_verdict: tried.earlier(),
        idempotent: req.idempotent,
        body_replayable: body.is_whole(),
        time_to_deadline: req.deadline.saturating_duration_since(Instant::now()),
        expected_latency: parts.expected_latency(),
        attempts: u32::from(tried.attempts - tried.redirects),
        retry_after,
    }
}

fn give_up(
    attempted: Attempted,
    verdict: Verdict,
) -> Result<Response<OutgoingBody>, ErrorResponse> {
    match attempted {
        Attempted::Response(answer) | Attempted::ServerError(answer) => Ok(answer),
        Attempted::Failed(mut failure)
        | Attempted::Declined(mut failure)
        | Attempted::PathFailed(mut failure) => {
            failure.verdict = verdict;
            if failure.status == StatusCode::SERVICE_UNAVAILABLE {
                match verdict {
                    Verdict::NotRun => failure.retry_after = Some(RETRY_AFTER),
                    _ => failure.status = StatusCode::BAD_GATEWAY,
                }
            }
            Err(failure)
        }
    }
}

/// Describes a guard's refusal to the caller.
fn refusal(answer: &PooledResponse, verdict: Verdict) -> ErrorResponse {
    let reason = text_of(answer.headers(), headers::REASON);
    let status = match answer.status() {
        StatusCode::GATEWAY_TIMEOUT => StatusCode::GATEWAY_TIMEOUT,
        _ if verdict == Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    ErrorResponse::new(status, verdict, reason)
}

fn text_of(map: &HeaderMap, name: &str) -> String {
    map.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn load_of(load: fescuemux_wire::hop::ServerLoad) -> ServerLoad {
    ServerLoad { busy: load.busy, slots: load.slots, queued: load.queued }
}
