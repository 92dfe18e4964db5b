//! Admission of requests within the allowance of their customer.

use super::CallerResponse;
use super::request::CallerRequest;
use crate::allowance_exchange;
use crate::node::Node;
use fescuemux_core::allowances::{
    AllowanceDecision, CallerHash, LimitedCaller, Outbox, caller_hash,
};
use fescuemux_core::caller_keys::CallerAccount;
use http::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// Reason of a refusal of a request that exceeds its customer's allowance.
const REASON: &str = "allowance";

/// `Retry-After` when no decision was made before the deadline.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Request that counts against an allowance. It is taken back on drop if it was not sent.
pub(super) struct CountedRequest<'a> {
    node: &'a Node,
    request: &'a CallerRequest,
    caller: CallerHash,
    leased: bool,
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        if self.request.sent_attempts.get() == 0 {
            let give_back = |cx: &mut _| {
                self.node.allowances.borrow_mut().give_back(cx, self.caller, self.leased)
            };
            self.node.with_cx(give_back);
        }
    }
}

/// Admits a request of a customer, usually with a lease that the instance holds, or else after one
/// round trip to the instance that counts the customer's requests. Returns `None` if the customer
/// has no allowance.
///
/// # Errors
/// Returns the response to send if the allowance is used up.
pub(super) async fn admit<'a>(
    node: &'a Node,
    request: &'a CallerRequest,
    account: &CallerAccount,
) -> Result<Option<CountedRequest<'a>>, Box<CallerResponse>> {
    let Some(allowance) = account.allowance else { return Ok(None) };
    let caller =
        LimitedCaller { hash: caller_hash(&account.id), allowance, version: node.config_version() };
    let refused = |retry_after| {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Err(Box::new(CallerResponse::refused(status, REASON, Some(retry_after))))
    };
    match timeout(request.time_left(node.now()), decide(node, &caller)).await {
        Ok(Ok(leased)) => Ok(Some(CountedRequest { node, request, caller: caller.hash, leased })),
        Ok(Err(retry_after)) => refused(retry_after),
        Err(_) => refused(UNDECIDED_RETRY_AFTER),
    }
}

/// Returns whether the request uses a lease.
///
/// # Errors
/// Fails if the allowance is used up, with the time until there is room.
async fn decide(node: &Node, caller: &LimitedCaller) -> Result<bool, Duration> {
    let mut waiting_since = None;
    loop {
        // Registered before the decision, so that no reply is missed.
        let replied = node.allowance_notify.notified();
        let mut outbox = Outbox::new();
        let decision = node.with_cx(|cx| {
            node.allowances.borrow_mut().decide(cx, caller, waiting_since, &mut outbox)
        });
        allowance_exchange::send(node, outbox);
        waiting_since = waiting_since.or(Some(node.now()));
        match decision {
            AllowanceDecision::Admitted { leased } => return Ok(leased),
            AllowanceDecision::Refused(retry_after) => return Err(retry_after),
            AllowanceDecision::Wait(until) => {
                let left = until.saturating_duration_since(node.now());
                // A reply or the time for the next step, whichever is first.
                let _ = timeout(left, replied).await;
            }
        }
    }
}
