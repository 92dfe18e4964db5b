//! Error responses that the ingress sends to callers instead of a backend server's response.

use crate::http::{OutgoingBody, full};
use fescuemux_core::base::Verdict;
use fescuemux_wire::headers;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Error response to a caller, sent instead of a backend server's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) verdict: Verdict,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
    /// Response status of the first request with the same idempotency key.
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

    /// Returns a 400 response to a malformed request.
    pub(super) fn bad_request(reason: impl Into<String>) -> ErrorResponse {
        ErrorResponse::new(StatusCode::BAD_REQUEST, Verdict::NotRun, reason)
    }

    /// Returns a 404 response to a request that matches no route.
    pub(super) fn no_route() -> ErrorResponse {
        ErrorResponse::new(StatusCode::NOT_FOUND, Verdict::NotRun, "no route matches the request")
    }

    /// Returns a 413 response to a body of more than `limit` bytes.
    pub(super) fn too_large(limit: u64) -> ErrorResponse {
        let reason = format!("the body exceeds {limit} bytes");
        ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, Verdict::NotRun, reason)
    }

    /// Returns a 429 response to a caller over its rate limit.
    pub(super) fn rate_limited(retry_after: Duration) -> ErrorResponse {
        let reason = "the caller is over its limit";
        let mut error = ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, Verdict::NotRun, reason);
        error.retry_after = Some(retry_after);
        error
    }

    /// Returns a 503 response to a request that did not run and can be sent again later.
    pub(super) fn unavailable(reason: impl Into<String>) -> ErrorResponse {
        let mut error =
            ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun, reason);
        error.retry_after = Some(Duration::from_secs(1));
        error
    }

    /// Returns a 504 response to a request whose deadline passed.
    pub(super) fn timed_out(verdict: Verdict) -> ErrorResponse {
        ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, verdict, "the deadline passed")
    }

    /// Returns a 502 response to a request that may have run and whose response did not arrive
    /// completely or was rejected.
    pub(super) fn bad_gateway(reason: impl Into<String>) -> ErrorResponse {
        ErrorResponse::new(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
    }

    /// Returns a 502 response to a request that a backend server ran and then refused with `status`.
    pub(super) fn refused_after_run(status: StatusCode) -> ErrorResponse {
        let reason = format!("the server answered {} after it ran the request", status.as_u16());
        ErrorResponse::new(StatusCode::BAD_GATEWAY, Verdict::Ran, reason)
    }

    /// Returns a 409 response to a request whose idempotency key was or may have been used before.
    pub(super) fn duplicate(
        verdict: Verdict,
        first_status: Option<u16>,
        reason: &str,
    ) -> ErrorResponse {
        let mut error = ErrorResponse::new(StatusCode::CONFLICT, verdict, reason);
        error.first_status = first_status;
        error
    }

    pub(crate) fn into_response(self) -> Response<OutgoingBody> {
        let text = format!("{}: {}\n", self.verdict, self.reason);
        let mut response = Response::new(full(text));
        *response.status_mut() = self.status;
        let header_map = response.headers_mut();
        header_map
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        header_map.insert(headers::VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Ok(reason) = HeaderValue::try_from(self.reason) {
            header_map.insert(headers::REASON, reason);
        }
        if let Some(retry_after) = self.retry_after {
            header_map.insert(
                header::RETRY_AFTER,
                HeaderValue::from(retry_after.as_secs_f64().ceil() as u64),
            );
        }
        if let Some(first_status) = self.first_status {
            header_map.insert(headers::FIRST_STATUS, HeaderValue::from(first_status));
        }
        response
    }
}
