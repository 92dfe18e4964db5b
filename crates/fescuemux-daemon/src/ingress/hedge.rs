//! A second attempt beside a slow one, for idempotent requests.

use super::Ingress;
use super::attempt::{Attempted, Tried, attempt_of};
use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::service_parts::ServiceParts;
use fescuemux_core::base::Verdict;
use fescuemux_core::route::{Choice, RequestKind};
use futures::future::{Either, select};
use std::pin::pin;
use std::sync::Arc;

impl Ingress {
    /// Makes an attempt. When it is idempotent, can be sent again, and takes longer than nearly
    /// all others, a second one is made at another server within the retry budget; the first
    /// answer counts and the other attempt is canceled.
    pub(super) async fn attempt_hedged(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        parts: &Arc<ServiceParts>,
        choice: &Choice,
        tried: &mut Tried,
    ) -> Attempted {
        let number = tried.begin(choice);
        let first = pin!(self.attempt(req, body, parts, choice, number));
        let Some(delay) = parts.hedge_delay().filter(|_| may_hedge(req, body)) else {
            let attempted = first.await;
            note_path(&attempted, choice, tried);
            return attempted;
        };
        let first = match select(first, pin!(tokio::time::sleep(delay))).await {
            Either::Left((attempted, _)) => {
                note_path(&attempted, choice, tried);
                return attempted;
            }
            Either::Right(((), first)) => first,
        };
        let attempt = attempt_of(req, body, parts, tried, Verdict::MayHaveRun, None);
        let other = self.choose(req, tried).filter(|other| other.server != choice.server);
        // A trial is the fleet's own question, so its request is not charged for it. Guards take
        // one trial at a time, which bounds these attempts.
        let trial = choice.kind == RequestKind::Trial;
        let Some(other) = other.filter(|_| trial || parts.try_hedge(&attempt)) else {
            let attempted = first.await;
            note_path(&attempted, choice, tried);
            return attempted;
        };
        let kind = if trial { "trial hedged" } else { "hedged" };
        self.cx.metrics.count_attempt(&req.service.id, kind);
        let number = tried.begin(&other);
        let second = pin!(self.attempt(req, body, parts, &other, number));
        let (attempted, chosen, rest) = match select(first, second).await {
            Either::Left((attempted, second)) => (attempted, choice, Either::Right(second)),
            Either::Right((attempted, first)) => (attempted, &other, Either::Left(first)),
        };
        note_path(&attempted, chosen, tried);
        if matches!(attempted, Attempted::Response(_)) {
            return attempted;
        }
        // The attempt that ended first failed, so the other one decides. Its failure alone would
        // hide that the request may have run in the first.
        tried.note_verdict(attempted.verdict());
        let (attempted, chosen) = match rest {
            Either::Left(first) => (first.await, choice),
            Either::Right(second) => (second.await, &other),
        };
        note_path(&attempted, chosen, tried);
        attempted
    }
}

fn may_hedge(req: &IncomingRequest, body: &CallerBody) -> bool {
    let in_memory = matches!(body, CallerBody::Empty | CallerBody::Buffered(_));
    req.idempotent && in_memory
}

fn note_path(attempted: &Attempted, choice: &Choice, tried: &mut Tried) {
    if matches!(attempted, Attempted::PathFailed(_)) {
        tried.path_failed(choice);
    }
}
