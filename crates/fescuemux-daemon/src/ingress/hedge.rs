//! Hedging: a second concurrent attempt of a slow idempotent request.

use super::Ingress;
use super::attempt::{AttemptHistory, AttemptOutcome, describe_attempt};
use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::service_parts::ServiceState;
use fescuemux_core::base::Verdict;
use fescuemux_core::route::{Choice, RequestKind};
use futures::future::{Either, select};
use std::pin::pin;
use std::sync::Arc;

impl Ingress {
    /// Makes an attempt. If the request is idempotent, its body is in memory, and the attempt takes
    /// longer than the hedge delay, starts a second attempt at another server. The first
    /// [`AttemptOutcome::Response`] wins and the other attempt is canceled. If the attempt that
    /// ends first fails, the other attempt determines the outcome.
    pub(super) async fn attempt_hedged(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        service: &Arc<ServiceState>,
        choice: &Choice,
        history: &mut AttemptHistory,
    ) -> AttemptOutcome {
        let attempt_number = history.record_attempt(choice);
        let first = pin!(self.send_attempt(req, body, service, choice, attempt_number));
        let Some(delay) = service.hedge_delay().filter(|_| may_hedge(req, body)) else {
            let outcome = first.await;
            record_path_failure(&outcome, choice, history);
            return outcome;
        };
        let first = match select(first, pin!(tokio::time::sleep(delay))).await {
            Either::Left((outcome, _)) => {
                record_path_failure(&outcome, choice, history);
                return outcome;
            }
            Either::Right(((), first)) => first,
        };
        let attempt = describe_attempt(req, body, service, history, Verdict::MayHaveRun, None);
        let hedge = self.choose_server(req, history).filter(|hedge| hedge.server != choice.server);
        // A trial probes a server on behalf of the fleet, so its hedge is not charged to the retry
        // budget. A guard admits one trial at a time to each server, which bounds the number of
        // hedged trials.
        let trial = choice.kind == RequestKind::Trial;
        let Some(hedge) = hedge.filter(|_| trial || service.try_hedge(&attempt)) else {
            let outcome = first.await;
            record_path_failure(&outcome, choice, history);
            return outcome;
        };
        let kind = if trial { "trial hedged" } else { "hedged" };
        self.context.metrics.count_attempt(&req.service.id, kind);
        let attempt_number = history.record_attempt(&hedge);
        let second = pin!(self.send_attempt(req, body, service, &hedge, attempt_number));
        let (outcome, chosen, remaining) = match select(first, second).await {
            Either::Left((outcome, second)) => (outcome, choice, Either::Right(second)),
            Either::Right((outcome, first)) => (outcome, &hedge, Either::Left(first)),
        };
        record_path_failure(&outcome, chosen, history);
        if matches!(outcome, AttemptOutcome::Response(_)) {
            return outcome;
        }
        // The attempt that ended first failed, so the other attempt determines the outcome.
        // The verdict of the failed attempt is recorded, because the request may have run there.
        history.record_verdict(outcome.verdict());
        let (outcome, chosen) = match remaining {
            Either::Left(first) => (first.await, choice),
            Either::Right(second) => (second.await, &hedge),
        };
        record_path_failure(&outcome, chosen, history);
        outcome
    }
}

fn may_hedge(req: &IncomingRequest, body: &CallerBody) -> bool {
    let in_memory = matches!(body, CallerBody::Empty | CallerBody::Buffered(_));
    req.idempotent && in_memory
}

fn record_path_failure(outcome: &AttemptOutcome, choice: &Choice, history: &mut AttemptHistory) {
    if matches!(outcome, AttemptOutcome::PathFailed(_)) {
        history.record_path_failure(choice);
    }
}
