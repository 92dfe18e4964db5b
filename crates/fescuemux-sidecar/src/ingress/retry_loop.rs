//! Retries and hedging of one request until its final response.

use super::attempt::{AttemptOutcome, run_attempt};
use super::request::CallerRequest;
use super::request_body::RequestBody;
use super::{CallerResponse, DEFAULT_RETRY_AFTER};
use crate::node::Node;
use fescuemux_core::placement::Refusal;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use rand::Rng;
use std::time::{Duration, Instant};

/// Largest factor by which `Retry-After` exceeds the expected wait. The jitter keeps callers
/// that are refused together from coming back together.
const MAX_RETRY_JITTER: f64 = 1.5;

/// Delay before the next hedged attempt after one found no slot.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Maximum number of placements of a request, without hedged ones. Limits retries of attempts that
/// a guard or backend server refused after the grant.
const MAX_PLACEMENTS: u32 = 6;

/// Runs attempts and returns the final response, at the deadline at the latest.
pub(super) async fn run(node: &Node, request: &CallerRequest, body: RequestBody) -> CallerResponse {
    let retry_loop = RetryLoop {
        node,
        request,
        body: &body,
        fallback: None,
        placements: 0,
        retried_with_wait: false,
    };
    match tokio::time::timeout_at(request.deadline.into(), retry_loop.run()).await {
        Ok(response) => response,
        Err(_) if request.may_have_run.get() => {
            CallerResponse::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
        }
        Err(_) => CallerResponse::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline_in_queue",
            Some(DEFAULT_RETRY_AFTER),
        ),
    }
}

/// State of the attempts of one request.
struct RetryLoop<'a> {
    node: &'a Node,
    request: &'a CallerRequest,
    body: &'a RequestBody,
    /// Response if no further attempt succeeds, such as a server error.
    fallback: Option<CallerResponse>,
    placements: u32,
    /// Whether a retry that found no slot was already placed again with waiting allowed.
    retried_with_wait: bool,
}

impl RetryLoop<'_> {
    async fn run(mut self) -> CallerResponse {
        let mut running = FuturesUnordered::new();
        running.push(run_attempt(self.node, self.request, self.body, true));
        self.placements += 1;
        loop {
            let hedge_at = self.hedge_at(running.len());
            let outcome = tokio::select! {
                outcome = running.next() => outcome,
                () = self.request.sent_notify.notified() => continue,
                () = sleep_until(hedge_at) => {
                    self.request.hedge_at.set(None);
                    if self.request.try_start_attempt() {
                        running.push(run_attempt(self.node, self.request, self.body, false));
                    }
                    continue;
                }
            };
            let retry = match outcome {
                Some(AttemptOutcome::Responded(response)) if !response.is_server_error() => {
                    return response;
                }
                Some(AttemptOutcome::Responded(response)) => self.on_server_error(response),
                Some(AttemptOutcome::NoSlot(refusal)) => {
                    self.on_no_slot(&refusal, running.is_empty())
                }
                Some(AttemptOutcome::NotRun { reason, reached_server }) => {
                    self.on_not_run(reason, reached_server, running.is_empty())
                }
                Some(AttemptOutcome::MayHaveRun { reason }) => self.on_may_have_run(reason),
                None => false,
            };
            if retry {
                self.placements += 1;
                running.push(run_attempt(self.node, self.request, self.body, true));
            } else if running.is_empty() {
                let no_response =
                    || CallerResponse::outcome_unknown(StatusCode::BAD_GATEWAY, "no_answer");
                return self.fallback.unwrap_or_else(no_response);
            }
        }
    }

    /// Returns when to hedge. Only an idempotent request with a single running attempt is hedged.
    fn hedge_at(&self, running: usize) -> Option<Instant> {
        let idempotent = self.request.policy.class.is_idempotent();
        let can_hedge = running == 1 && self.body.is_replayable();
        self.request.hedge_at.get().filter(|_| idempotent && can_hedge)
    }

    /// Returns whether to retry. A server error is final unless the request may be retried.
    fn on_server_error(&mut self, response: CallerResponse) -> bool {
        self.fallback = Some(response);
        self.may_retry_after_run()
    }

    fn on_may_have_run(&mut self, reason: &'static str) -> bool {
        let status = match reason {
            "deadline" | "stuck" => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        self.fallback.get_or_insert_with(|| CallerResponse::outcome_unknown(status, reason));
        self.may_retry_after_run()
    }

    /// Returns whether to retry. An attempt that reached no server is retried at once; one that
    /// a server refused counts against the attempts of the route.
    fn on_not_run(
        &mut self,
        reason: &'static str,
        reached_server: bool,
        none_running: bool,
    ) -> bool {
        let earlier_may_have_run = self.fallback.is_some();
        self.request.may_have_run.set(earlier_may_have_run || !none_running);
        if !earlier_may_have_run && none_running {
            let retry = self.body.is_replayable() && self.placements < MAX_PLACEMENTS;
            if retry && (!reached_server || self.request.try_start_attempt()) {
                return true;
            }
            let status = StatusCode::SERVICE_UNAVAILABLE;
            self.fallback =
                Some(CallerResponse::refused(status, reason, Some(DEFAULT_RETRY_AFTER)));
        }
        false
    }

    fn on_no_slot(&mut self, refusal: &Refusal, none_running: bool) -> bool {
        if !none_running {
            // The first attempt is still running; hedge it again later.
            self.request.release_attempt();
            self.request.hedge_at.set(Some(self.node.now() + HEDGE_RETRY_DELAY));
        }
        // The hedged attempt was not allowed to wait for a slot. Now that nothing else runs, place
        // the request once more and wait.
        if none_running && self.fallback.is_some() && self.is_retryable() && !self.retried_with_wait
        {
            self.retried_with_wait = true;
            return true;
        }
        if none_running && self.fallback.is_none() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reason = refusal.reason.as_str();
            let jitter = self.node.with_cx(|cx| cx.rng.random_range(1.0..MAX_RETRY_JITTER));
            let retry_in = refusal.retry_in.mul_f64(jitter);
            self.fallback = Some(CallerResponse::refused(status, reason, Some(retry_in)));
        }
        false
    }

    fn may_retry_after_run(&self) -> bool {
        self.is_retryable() && self.request.try_start_attempt()
    }

    fn is_retryable(&self) -> bool {
        self.request.policy.class.is_idempotent()
            && self.body.is_replayable()
            && self.placements < MAX_PLACEMENTS
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => futures::future::pending().await,
    }
}
