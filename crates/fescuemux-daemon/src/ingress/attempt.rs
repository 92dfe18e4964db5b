//! Attempts to serve one request at backend servers.

use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::sent::AttemptReport;
use super::service_parts::ServiceState;
use super::{ErrorResponse, Ingress};
use crate::http::{
    ConnectionReuse, OutgoingBody, PooledResponse, RelayLimits, full, is_replayable, read_all,
    relay, strip_connection_headers, strip_fleet_headers,
};
use fescuemux_core::base::{InstanceId, ServerHealth, ServerId, Verdict, is_refusal_status};
use fescuemux_core::retry::{Attempt, RetryDecision};
use fescuemux_core::route::{AttemptAnswer, Choice, RouteQuery, ServerLoad};
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopHealth, HopResponse, verify_response};
use http::{HeaderMap, HeaderValue, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Maximum number of reassignments of one request. A reassignment is a further attempt after
/// [`AttemptOutcome::Declined`], counted as `redirected` in the metrics. It is not charged to the
/// retry budget: the refusal causes the server no load and updates the router's view of the
/// server's health.
const MAX_REASSIGNMENTS: u8 = 2;

/// `Retry-After` value in the response to a request that did not run. After this time the router
/// avoids most of the servers that refused because of health or load.
const RETRY_AFTER_HINT: Duration = Duration::from_secs(1);

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// A response of the backend server with any status except 5xx.
    Response(Response<OutgoingBody>),
    /// A response of the backend server with a 5xx status.
    ServerError(Response<OutgoingBody>),
    /// The attempt failed in another way than [`Declined`](AttemptOutcome::Declined) or
    /// [`PathFailed`](AttemptOutcome::PathFailed): the guard sent an error, the backend server's
    /// response was incomplete, or the instance is no longer known.
    Failed(ErrorResponse),
    /// The guard refused the request and reported that its server's health is not
    /// [`HopHealth::Serving`]; the request did not run.
    Declined(ErrorResponse),
    /// The guard could not be reached, or its response did not arrive or was rejected.
    PathFailed(ErrorResponse),
}

/// Previous attempts of a request.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    tried_servers: Vec<ServerId>,
    failed_instances: Vec<InstanceId>,
    /// Highest recorded verdict in the order of [`Verdict`]; `None` if none was recorded.
    earlier_verdict: Option<Verdict>,
    /// Number of attempts, including reassignments and hedges.
    attempts: u8,
    reassignments: u8,
}

impl AttemptHistory {
    /// Records the start of an attempt and returns its number, counted from zero.
    pub(super) fn record_attempt(&mut self, choice: &Choice) -> u8 {
        let attempt_number = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        self.tried_servers.push(choice.server.clone());
        attempt_number
    }

    pub(super) fn record_path_failure(&mut self, choice: &Choice) {
        self.failed_instances.push(choice.instance.clone());
    }

    /// Records the verdict of a failed attempt that is followed by a retry, or whose hedge or
    /// hedged attempt still runs. The caller receives the highest verdict of all failed attempts.
    pub(super) fn record_verdict(&mut self, verdict: Verdict) {
        self.earlier_verdict = self.earlier_verdict.max(Some(verdict));
    }

    /// Returns the highest recorded verdict in the order `NotRun`, `MayHaveRun`, `Ran`, or `NotRun`
    /// if none was recorded.
    pub(super) fn earlier_verdict(&self) -> Verdict {
        self.earlier_verdict.unwrap_or(Verdict::NotRun)
    }
}

impl AttemptOutcome {
    /// Returns whether the request ran, as far as this attempt shows.
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            AttemptOutcome::Response(_) | AttemptOutcome::ServerError(_) => Verdict::Ran,
            AttemptOutcome::Failed(error)
            | AttemptOutcome::Declined(error)
            | AttemptOutcome::PathFailed(error) => error.verdict,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            AttemptOutcome::Response(_) | AttemptOutcome::ServerError(_) => None,
            AttemptOutcome::Failed(error)
            | AttemptOutcome::Declined(error)
            | AttemptOutcome::PathFailed(error) => error.retry_after,
        }
    }
}

impl Ingress {
    /// Sends a request to backend servers until one responds with a status other than 5xx or no
    /// further attempt is permitted.
    pub(super) async fn send_with_retries(
        &self,
        req: &IncomingRequest,
        body: &mut CallerBody,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let service = self.get_or_create_service_state(&req.service);
        service.on_request();
        let mut history = AttemptHistory::default();
        loop {
            let Some(choice) = self.choose_server(req, &history) else {
                let reason = "no backend server can take the request";
                return Err(match history.earlier_verdict() {
                    Verdict::NotRun => ErrorResponse::unavailable(reason),
                    Verdict::MayHaveRun | Verdict::Ran => ErrorResponse::bad_gateway(reason),
                });
            };
            let outcome = self.attempt_hedged(req, body, &service, &choice, &mut history).await;
            let (verdict, retry_after) = (outcome.verdict(), outcome.retry_after());
            if let AttemptOutcome::Response(response) = outcome {
                return Ok(response);
            }
            if matches!(outcome, AttemptOutcome::Declined(_))
                && self.try_reassign(body, &mut history)
            {
                self.context.metrics.count_attempt(&req.service.id, "redirected");
                continue;
            }
            match service.decide_retry(&describe_attempt(
                req,
                body,
                &service,
                &history,
                verdict,
                retry_after,
            )) {
                RetryDecision::Retry { after } => {
                    tokio::time::sleep(after).await;
                    history.record_verdict(verdict);
                    self.context.metrics.count_attempt(&req.service.id, "retried");
                }
                RetryDecision::GiveUp { verdict, .. } => {
                    return final_result(outcome, verdict);
                }
            }
        }
    }

    fn try_reassign(&self, body: &CallerBody, history: &mut AttemptHistory) -> bool {
        if !body.can_be_sent() || history.reassignments >= MAX_REASSIGNMENTS {
            return false;
        }
        history.reassignments += 1;
        true
    }

    pub(super) fn choose_server(
        &self,
        req: &IncomingRequest,
        history: &AttemptHistory,
    ) -> Option<Choice> {
        let mut query = RouteQuery {
            service: &req.service.id,
            idempotent: req.idempotent,
            excluded_servers: &history.tried_servers,
            excluded_instances: &history.failed_instances,
        };
        self.router.with(|cx, router| {
            if let Some(choice) = router.choose(cx, &query) {
                return Some(choice);
            }
            // No other server is available; trying a server again is better than failing the
            // request.
            query.excluded_servers = &[];
            query.excluded_instances = &[];
            router.choose(cx, &query)
        })
    }

    pub(super) async fn send_attempt(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        service: &ServiceState,
        choice: &Choice,
        attempt_number: u8,
    ) -> AttemptOutcome {
        let Some(peer) = self.directory.get(&choice.instance) else {
            return AttemptOutcome::Failed(ErrorResponse::unavailable(
                "the instance is no longer known",
            ));
        };
        let (hop_request, mac) =
            self.build_hop_request(req, body, service, choice, peer, attempt_number);
        let report = AttemptReport::new(&self.router, choice);
        let started = Instant::now();
        let sending = self.pool.send(peer.hop, ConnectionReuse::Allowed, hop_request);
        let response = match timeout_at(req.deadline.into(), sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                report.path_failed();
                self.context.metrics.count_attempt(&req.service.id, "path failed");
                let mut error = ErrorResponse::bad_gateway(e.to_string());
                error.verdict = e.verdict();
                if error.verdict == Verdict::NotRun {
                    error.status = StatusCode::SERVICE_UNAVAILABLE;
                }
                return AttemptOutcome::PathFailed(error);
            }
            Err(_) => {
                report.path_failed();
                self.context.metrics.count_attempt(&req.service.id, "path timed out");
                return AttemptOutcome::PathFailed(ErrorResponse::timed_out(Verdict::MayHaveRun));
            }
        };
        self.process_response(req, service, choice, report, started, &mac, response).await
    }

    /// Verifies that a response belongs to the attempt, reports it to the router and converts it to
    /// the outcome of the attempt.
    #[expect(clippy::too_many_arguments, reason = "all arguments describe one attempt")]
    async fn process_response(
        &self,
        req: &IncomingRequest,
        service: &ServiceState,
        choice: &Choice,
        report: AttemptReport<'_>,
        started: Instant,
        mac: &str,
        response: PooledResponse,
    ) -> AttemptOutcome {
        let status = response.status();
        let verified =
            verify_response(&self.context.keys, mac, status.as_u16(), response.headers());
        let hop_response = verified.and_then(|()| HopResponse::try_from(response.headers()));
        let hop_response = match hop_response {
            Ok(hop_response) => hop_response,
            Err(e) => {
                tracing::warn!(instance = %choice.instance, error = %e, "guard response rejected");
                report.path_failed();
                self.context.metrics.count_attempt(&req.service.id, "answer refused");
                let reason = "the guard's answer is not authentic";
                return AttemptOutcome::PathFailed(ErrorResponse::bad_gateway(reason));
            }
        };
        report.responded(AttemptAnswer {
            verdict: hop_response.verdict,
            latency: started.elapsed(),
            load: hop_response.load.map(router_load),
            health: hop_response.health.map(ServerHealth::from),
        });
        self.context.metrics.count_attempt(&req.service.id, hop_response.verdict.as_str());
        if hop_response.verdict != Verdict::Ran {
            let declined = hop_response.health.is_some_and(|health| health != HopHealth::Serving);
            let error = guard_error(&response, hop_response.verdict);
            return match hop_response.verdict {
                Verdict::NotRun if declined => AttemptOutcome::Declined(error),
                _ => AttemptOutcome::Failed(error),
            };
        }
        let ok = !status.is_server_error();
        if let Some(service_time) = hop_response.service_time {
            service.on_response(&choice.server, service_time, ok);
        }
        match self.relay_response(req, response).await {
            Ok(response) if ok => AttemptOutcome::Response(response),
            Ok(response) => AttemptOutcome::ServerError(response),
            Err(error) => AttemptOutcome::Failed(error),
        }
    }

    /// Converts a backend server's response to the response to the caller. A body known to fit into
    /// [`max_replay_bytes`](crate::http::HttpLimits::max_replay_bytes) is read completely first, so
    /// that a truncated body becomes an error response. Other bodies are streamed, and the caller's
    /// connection is aborted when the source fails.
    ///
    /// # Errors
    /// Returns the error response to send instead if the body is truncated, or if the status would
    /// promise that the request has not run.
    async fn relay_response(
        &self,
        req: &IncomingRequest,
        response: PooledResponse,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let (mut parts, body) = response.into_parts();
        if is_refusal_status(parts.status.as_u16()) {
            return Err(ErrorResponse::refused_after_run(parts.status));
        }
        let limits = &self.context.limits;
        let relay_limits =
            RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
        let body = if is_replayable(&body.size_hint(), limits.max_replay_bytes) {
            match timeout_at(req.deadline.into(), read_all(body, relay_limits)).await {
                Ok(Ok(content)) => full(content),
                Ok(Err(e)) => {
                    return Err(ErrorResponse::bad_gateway(format!("the answer was cut: {e}")));
                }
                Err(_) => return Err(ErrorResponse::timed_out(Verdict::MayHaveRun)),
            }
        } else {
            relay(body, relay_limits).boxed()
        };
        strip_connection_headers(&mut parts.headers);
        strip_fleet_headers(&mut parts.headers);
        let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
        parts.headers.insert(headers::VERDICT, verdict);
        parts.version = Version::HTTP_11;
        Ok(Response::from_parts(parts, body))
    }
}

/// Describes an attempt to the retry budget, which decides whether another attempt is permitted.
pub(super) fn describe_attempt(
    req: &IncomingRequest,
    body: &CallerBody,
    service: &Arc<ServiceState>,
    history: &AttemptHistory,
    verdict: Verdict,
    retry_after: Option<Duration>,
) -> Attempt {
    Attempt {
        verdict,
        previous_verdict: history.earlier_verdict(),
        idempotent: req.idempotent,
        body_replayable: body.can_be_sent(),
        time_to_deadline: req.deadline.saturating_duration_since(Instant::now()),
        expected_latency: service.expected_latency(),
        attempts: u32::from(history.attempts - history.reassignments),
        retry_after,
    }
}

/// Converts the outcome of the last attempt to the result of the request. `verdict` is the highest
/// verdict of all attempts.
fn final_result(
    outcome: AttemptOutcome,
    verdict: Verdict,
) -> Result<Response<OutgoingBody>, ErrorResponse> {
    match outcome {
        AttemptOutcome::Response(response) | AttemptOutcome::ServerError(response) => Ok(response),
        AttemptOutcome::Failed(mut error)
        | AttemptOutcome::Declined(mut error)
        | AttemptOutcome::PathFailed(mut error) => {
            error.verdict = verdict;
            if error.status == StatusCode::SERVICE_UNAVAILABLE {
                match verdict {
                    Verdict::NotRun => error.retry_after = Some(RETRY_AFTER_HINT),
                    _ => error.status = StatusCode::BAD_GATEWAY,
                }
            }
            Err(error)
        }
    }
}

/// Converts an error response of a guard to an error response for the caller.
fn guard_error(response: &PooledResponse, verdict: Verdict) -> ErrorResponse {
    let reason = header_text(response.headers(), headers::REASON);
    let status = match response.status() {
        StatusCode::GATEWAY_TIMEOUT => StatusCode::GATEWAY_TIMEOUT,
        _ if verdict == Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    ErrorResponse::new(status, verdict, reason)
}

pub(super) fn header_text(header_map: &HeaderMap, name: &str) -> String {
    header_map.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn router_load(load: fescuemux_wire::hop::ServerLoad) -> ServerLoad {
    ServerLoad { busy: load.busy, slots: load.slots, queued: load.queued }
}
