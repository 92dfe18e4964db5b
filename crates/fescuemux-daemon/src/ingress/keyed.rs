//! Requests with an idempotency key on routes that are not idempotent.

use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::{ErrorResponse, Ingress};
use crate::http::OutgoingBody;
use fescuemux_core::base::Verdict;
use fescuemux_core::dedup::KeyOutcome;
use fescuemux_wire::rpc::{ClaimResponseWire, KeyOutcomeWire};
use http::Response;

impl Ingress {
    /// Sends a request. If the request has an idempotency key and its route is not idempotent,
    /// claims the key first and records the outcome of the request afterwards.
    pub(super) async fn run_with_key(
        &self,
        req: &IncomingRequest,
        body: &mut CallerBody,
    ) -> Result<Response<OutgoingBody>, ErrorResponse> {
        let Some(key) = req.key.as_deref().filter(|_| !req.idempotent) else {
            return self.send_with_retries(req, body).await;
        };
        let claim = self.homes.claim(&req.service.id, key, req.id, req.deadline).await;
        check_claim(claim)?;
        // If this future is dropped here, for example because the caller disconnected, the claim
        // stays open and a resend is told that the request may have run.
        let result = self.send_with_retries(req, body).await;
        let outcome = match &result {
            Ok(response) => Some(KeyOutcomeWire::Ran(response.status().as_u16())),
            Err(error) => claim_outcome(error),
        };
        self.homes.settle(&req.service.id, key, req.id, outcome);
        result
    }
}

/// Returns the outcome to record for a request that ended in an error; `None` releases the claim.
fn claim_outcome(error: &ErrorResponse) -> Option<KeyOutcomeWire> {
    match error.verdict {
        Verdict::NotRun => None,
        Verdict::MayHaveRun => Some(KeyOutcomeWire::Unknown),
        Verdict::Ran => Some(KeyOutcomeWire::Ran(error.status.as_u16())),
    }
}

fn check_claim(claim: ClaimResponseWire) -> Result<(), ErrorResponse> {
    match claim {
        ClaimResponseWire::Granted => Ok(()),
        ClaimResponseWire::Duplicate(outcome) => {
            let verdict = KeyOutcome::from(outcome).verdict();
            let first_status = match outcome {
                KeyOutcomeWire::Ran(status) => Some(status),
                KeyOutcomeWire::InProgress | KeyOutcomeWire::Unknown => None,
            };
            Err(ErrorResponse::duplicate(
                verdict,
                first_status,
                "the idempotency key was used before",
            ))
        }
        ClaimResponseWire::Unknown => {
            let reason = "the key is older than what its home remembers";
            Err(ErrorResponse::duplicate(Verdict::MayHaveRun, None, reason))
        }
        ClaimResponseWire::FromFuture => {
            Err(ErrorResponse::bad_request("the key's time is in the future"))
        }
        ClaimResponseWire::Full => Err(ErrorResponse::unavailable("the home of the key is full")),
        ClaimResponseWire::Refused => {
            Err(ErrorResponse::unavailable("the home of the key cannot grant it"))
        }
    }
}
