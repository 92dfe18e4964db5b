//! Error responses that a guard sends instead of a backend server's response.

use crate::http::{OutgoingBody, empty};
use fescuemux_core::base::Verdict;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopError, HopHealth, HopResponse, ServerLoad};
use http::{HeaderValue, Response, StatusCode};

/// Error response to an ingress, sent instead of a backend server's response.
#[derive(Debug)]
pub(super) struct GuardError {
    status: StatusCode,
    reason: String,
    response: HopResponse,
}

impl GuardError {
    fn new(status: StatusCode, verdict: Verdict, reason: impl Into<String>) -> GuardError {
        let response = HopResponse { verdict, load: None, health: None, service_time: None };
        GuardError { status, reason: reason.into(), response }
    }

    /// Returns a 503 response to a request that did not run and will not run at this guard.
    pub(super) fn not_run(reason: impl Into<String>) -> GuardError {
        GuardError::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun, reason)
    }

    /// Returns a 504 response to a request whose deadline passed before it was sent.
    pub(super) fn too_late() -> GuardError {
        GuardError::new(StatusCode::GATEWAY_TIMEOUT, Verdict::NotRun, "the deadline passed")
    }

    /// Returns a 504 response to a request whose deadline passed after it was sent.
    pub(super) fn timed_out() -> GuardError {
        GuardError::new(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun, "no answer in time")
    }

    /// Returns a 502 response to a request that was sent but whose response did not arrive
    /// completely.
    pub(super) fn incomplete(reason: impl Into<String>) -> GuardError {
        GuardError::new(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
    }

    /// Returns a 409 response to an attempt that was received before.
    pub(super) fn duplicate(verdict: Verdict) -> GuardError {
        GuardError::new(StatusCode::CONFLICT, verdict, "the request was here before")
    }

    /// Returns a 400 response to a request with malformed fleet headers.
    pub(super) fn malformed(e: &HopError) -> GuardError {
        GuardError::new(StatusCode::BAD_REQUEST, Verdict::NotRun, e.to_string())
    }

    /// Adds the load and health of the backend server.
    pub(super) fn with_server_status(mut self, load: ServerLoad, health: HopHealth) -> GuardError {
        self.response.load = Some(load);
        self.response.health = Some(health);
        self
    }

    pub(super) fn verdict(&self) -> Verdict {
        self.response.verdict
    }

    pub(super) fn into_response(self) -> Response<OutgoingBody> {
        let mut response = Response::new(empty());
        *response.status_mut() = self.status;
        self.response.write(response.headers_mut());
        if let Ok(reason) = HeaderValue::try_from(self.reason) {
            response.headers_mut().insert(headers::REASON, reason);
        }
        response
    }
}

/// Returns the response to an unauthenticated request. The response has no details and no verdict.
pub(super) fn unauthenticated_response() -> Response<OutgoingBody> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}
