//! Answers that the fleet gives a caller in place of a backend server's answer.

use crate::http::{OutgoingBody, full};
use fescuemux_core::base::Verdict;
use fescuemux_wire::headers;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Reason for answering without a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) verdict: Verdict,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
    /// Status of the first request, in the answer to a duplicate.
    pub(crate) first_status: Option<u16>,
}

impl ErrorResponse {
    pub(crate) fn new(
        status: StatusCode,
        verdict: Verdict,
        reason: impl Into<String>,
    ) -> ErrorResponse {
        ErrorResponse {
            status,
            verdict,
            reason: reason.into(),
            retry_after: None,
            first_status: None,
        }
    }

    /// The request is malformed.
    pub(super) fn bad_request(reason: impl Into<String>) -> ErrorResponse {
        ErrorResponse::new(StatusCode::BAD_REQUEST, Verdict::NotRun, reason)
    }

    /// No route matches.
    pub(super) fn no_route() -> ErrorResponse {
        ErrorResponse::new(StatusCode::NOT_FOUND, Verdict::NotRun, "no route matches the request")
    }

    /// The body is larger than permitted.
    pub(super) fn too_large(limit: u64) -> ErrorResponse {
        let reason = format!("the body exceeds {limit} bytes");
        ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, Verdict::NotRun, reason)
    }

    /// The caller is over its limit.
    pub(super) fn limited(retry_after: Duration) -> ErrorResponse {
        let reason = "the caller is over its limit";
        let mut failure =
            ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, Verdict::NotRun, reason);
        failure.retry_after = Some(retry_after);
        failure
    }

    /// The request did not run; it may be sent again later.
    pub(super) fn unavailable(reason: impl Into<String>) -> ErrorResponse {
        let mut failure =
            ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun, reason);
        failure.retry_after = Some(Duration::from_secs(1));
        failure
    }

    /// The deadline passed.
    pub(super) fn timed_out(verdict: Verdict) -> ErrorResponse {
        ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, verdict, "the deadline passed")
    }

    /// The answer did not arrive whole.
    pub(super) fn broken(reason: impl Into<String>) -> ErrorResponse {
        ErrorResponse::new(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
    }

    /// The idempotency key was used before, or may have been.
    pub(super) fn duplicate(
        verdict: Verdict,
        first_status: Option<u16>,
        reason: &str,
    ) -> ErrorResponse {
        let mut failure = ErrorResponse::new(StatusCode::CONFLICT, verdict, reason);
        failure.first_status = first_status;
        failure
    }

    pub(crate) fn into_answer(self) -> Response<OutgoingBody> {
        let text = format!("{}: {}\n", self.verdict, self.reason);
        let mut answer = Response::new(full(text));
        *answer.status_mut() = self.status;
        let map = answer.headers_mut();
        map.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        map.insert(headers::VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Ok(reason) = HeaderValue::try_from(self.reason) {
            map.insert(headers::REASON, reason);
        }
        if let Some(wait) = self.retry_after {
            map.insert(header::RETRY_AFTER, HeaderValue::from(wait.as_secs_f64().ceil() as u64));
        }
        if let Some(status) = self.first_status {
            map.insert(headers::FIRST_STATUS, HeaderValue::from(status));
        }
        answer
    }
}
