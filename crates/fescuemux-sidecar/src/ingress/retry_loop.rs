//! Retries and hedging of one request until its final response.

use super::attempt::{AttemptOutcome, AttemptPhase, AttemptState, run_attempt};
use super::request::CallerRequest;
use super::request_body::RequestBody;
use super::{CallerResponse, DEFAULT_RETRY_AFTER};
use crate::hop::Failure;
use crate::node::Node;
use fescuemux_core::placement::{EvictedAttempt, EvictionResponse, Refusal};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum random factor between the expected wait and `Retry-After`. The jitter keeps callers
/// that are refused together from coming back together.
const MAX_JITTER_FACTOR: f64 = 1.5;

/// Delay before another hedged attempt after a hedged attempt found no slot.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Maximum number of placements of a request, that is, of attempts without hedged attempts. The
/// maximum bounds the retries after a guard or backend server refused the request although its slot
/// had been granted.
const MAX_PLACEMENTS: u32 = 6;

/// Maximum number of searches without success; see [`RetryLoop::failed_searches`].
const MAX_FAILED_SEARCHES: u32 = 2;

/// Runs attempts and returns the final response, at the deadline at the latest.
pub(super) async fn run(node: &Node, request: &CallerRequest, body: RequestBody) -> CallerResponse {
    let retry_loop = RetryLoop {
        node,
        request,
        body: &body,
        fallback: None,
        attempts: Vec::new(),
        placements: 0,
        failed_searches: 0,
    };
    match tokio::time::timeout(request.time_left(node.now()), retry_loop.run()).await {
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
    /// Response to send if no further attempt succeeds, such as a server error.
    fallback: Option<CallerResponse>,
    /// States of the attempts in progress.
    attempts: Vec<Rc<AttemptState>>,
    /// Number of attempts started, without hedged attempts.
    placements: u32,
    /// Number of searches that found no slot while no attempt ran that may go on, that is, none or
    /// only evicted ones.
    failed_searches: u32,
}

impl RetryLoop<'_> {
    async fn run(mut self) -> CallerResponse {
        let (node, request, body) = (self.node, self.request, self.body);
        let start_attempt = |state: Rc<AttemptState>, may_wait| async move {
            let outcome = run_attempt(node, request, body, may_wait, &state).await;
            (state, outcome)
        };
        let mut running_attempts = FuturesUnordered::new();
        running_attempts.push(start_attempt(self.add_placement(), true));
        loop {
            if self.respond_to_evictions() {
                running_attempts.push(start_attempt(self.add_placement(), true));
            }
            let time_to_hedge = self
                .hedge_at(running_attempts.len())
                .map(|at| at.saturating_duration_since(self.node.now()));
            let time_to_presumed_lost = self.time_to_presumed_lost();
            let outcome = tokio::select! {
                outcome = running_attempts.next() => outcome,
                () = self.request.attempt_notify.notified() => continue,
                () = sleep_for(time_to_presumed_lost) => continue,
                () = sleep_for(time_to_hedge) => {
                    self.request.hedge_at.set(None);
                    if self.request.try_start_attempt() {
                        running_attempts.push(start_attempt(self.add_attempt(), false));
                    }
                    continue;
                }
            };
            let outcome = outcome.map(|(state, outcome)| {
                self.attempts.retain(|other| !Rc::ptr_eq(other, &state));
                outcome
            });
            let retry = match outcome {
                Some(AttemptOutcome::Responded(response)) if !response.is_server_error() => {
                    return *response;
                }
                Some(AttemptOutcome::Responded(response)) => self.on_server_error(*response),
                Some(AttemptOutcome::NoSlot(refusal)) => {
                    self.on_no_slot(&refusal, running_attempts.is_empty())
                }
                Some(AttemptOutcome::NotRun { reason, reached_server }) => {
                    self.on_not_run(reason, reached_server, running_attempts.is_empty())
                }
                Some(AttemptOutcome::MayHaveRun { reason }) => self.on_may_have_run(reason),
                None => false,
            };
            if retry {
                running_attempts.push(start_attempt(self.add_placement(), true));
            } else if running_attempts.is_empty() {
                let no_response_fallback =
                    || CallerResponse::outcome_unknown(StatusCode::BAD_GATEWAY, "no_answer");
                return self.fallback.unwrap_or_else(no_response_fallback);
            }
        }
    }

    /// Adds an attempt and returns its state.
    fn add_attempt(&mut self) -> Rc<AttemptState> {
        let state = Rc::<AttemptState>::default();
        self.attempts.push(state.clone());
        state
    }

    /// Adds an attempt that is not hedged, and returns its state.
    fn add_placement(&mut self) -> Rc<AttemptState> {
        self.placements += 1;
        self.add_attempt()
    }

    /// Returns the time until the first evicted attempt is presumed lost, or `None` if there is none.
    fn time_to_presumed_lost(&self) -> Option<Duration> {
        let now = self.node.now();
        let presumed_lost_at =
            self.attempts.iter().filter_map(|attempt| match attempt.phase.get() {
                AttemptPhase::Evicted { presumed_lost_at } => Some(presumed_lost_at),
                AttemptPhase::Searching | AttemptPhase::Sent { .. } => None,
            });
        presumed_lost_at.filter(|at| *at > now).min().map(|at| at.saturating_duration_since(now))
    }

    /// Breaks off evicted attempts that another attempt replaces or whose answers are presumed lost,
    /// and returns whether to start an attempt in place of one.
    fn respond_to_evictions(&self) -> bool {
        for attempt in &self.attempts {
            let AttemptPhase::Evicted { presumed_lost_at } = attempt.phase.get() else { continue };
            let others = self.attempts.iter().filter(|other| !Rc::ptr_eq(other, attempt));
            let others: Vec<_> = others.map(|other| other.phase.get()).collect();
            let any_other = |matches: fn(&AttemptPhase) -> bool| others.iter().any(matches);
            let evicted_attempt = EvictedAttempt {
                near_planned_stop: self.node.is_near_planned_stop(),
                presumed_lost: self.node.now() >= presumed_lost_at,
                other_has_slot: any_other(|phase| matches!(phase, AttemptPhase::Sent { .. })),
                other_is_searching: any_other(|phase| matches!(phase, AttemptPhase::Searching)),
                may_replace: self.failed_searches < MAX_FAILED_SEARCHES && self.may_start_retry(),
            };
            match evicted_attempt.response() {
                EvictionResponse::Keep => {}
                EvictionResponse::Replace => return self.try_start_retry(),
                EvictionResponse::BreakOff => attempt.break_off.notify_one(),
            }
        }
        false
    }

    /// Returns when to start a hedged attempt, or `None` if the request cannot be hedged. A
    /// request can be hedged if it is idempotent, its body can be sent again and exactly one
    /// attempt is running.
    fn hedge_at(&self, running_count: usize) -> Option<Instant> {
        let idempotent = self.request.policy.class.is_idempotent();
        let can_hedge = running_count == 1 && self.body.is_replayable();
        self.request.hedge_at.get().filter(|_| idempotent && can_hedge)
    }

    /// Returns whether to retry. The server error is the final response if no other attempt gets a
    /// better response.
    fn on_server_error(&mut self, response: CallerResponse) -> bool {
        self.fallback = Some(response);
        self.try_start_retry()
    }

    /// Returns whether to retry after an attempt that may have run. An evicted attempt may have been
    /// replaced already.
    fn on_may_have_run(&mut self, reason: &'static str) -> bool {
        let status = match reason {
            "deadline" | "stuck" => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        self.fallback.get_or_insert_with(|| CallerResponse::outcome_unknown(status, reason));
        let is_replaced = reason == Failure::Evicted.as_str() && !self.attempts.is_empty();
        !is_replaced && self.try_start_retry()
    }

    /// Returns whether to retry. The retry counts against the route's limit of attempts only if a
    /// server refused the attempt. There is no retry here if another attempt is running or may have
    /// run.
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

    /// Returns whether to retry after an attempt that found no slot.
    fn on_no_slot(&mut self, refusal: &Refusal, none_running: bool) -> bool {
        if !none_running {
            // Another attempt is still running; start a hedged attempt again later.
            self.request.release_attempt();
            self.request.hedge_at.set(Some(self.node.now() + HEDGE_RETRY_DELAY));
        }
        let is_evicted = |attempt: &Rc<AttemptState>| {
            matches!(attempt.phase.get(), AttemptPhase::Evicted { .. })
        };
        if self.attempts.iter().all(is_evicted) {
            self.failed_searches += 1;
        }
        // A hedged attempt is not allowed to wait for a slot. Now that no other attempt is running,
        // place the request once more and let it wait.
        if none_running
            && self.fallback.is_some()
            && self.is_retryable()
            && self.failed_searches < MAX_FAILED_SEARCHES
        {
            return true;
        }
        if none_running && self.fallback.is_none() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reason = refusal.reason.as_str();
            let jitter = self.node.with_cx(|cx| cx.rng.random_range(1.0..MAX_JITTER_FACTOR));
            let retry_in = refusal.retry_in.mul_f64(jitter);
            self.fallback = Some(CallerResponse::refused(status, reason, Some(retry_in)));
        }
        false
    }

    /// Counts a retry after an attempt that ran or may have run, and returns whether the retry may
    /// start.
    fn try_start_retry(&self) -> bool {
        self.is_retryable() && self.request.try_start_attempt()
    }

    /// Returns whether [`RetryLoop::try_start_retry`] would return true.
    fn may_start_retry(&self) -> bool {
        self.is_retryable() && self.request.has_attempts_left()
    }

    fn is_retryable(&self) -> bool {
        self.request.policy.class.is_idempotent()
            && self.body.is_replayable()
            && self.placements < MAX_PLACEMENTS
    }
}

async fn sleep_for(duration: Option<Duration>) {
    match duration {
        Some(duration) => tokio::time::sleep(duration).await,
        None => futures::future::pending().await,
    }
}
