//! Answers that a guard gives without a backend server.

use crate::http::{OutgoingBody, empty};
use fescuemux_core::base::Verdict;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopError, HopHealth, HopResponse, ServerLoad};
use http::{HeaderValue, Response, StatusCode};

/// Reason for answering a request without a backend server's answer.
#[derive(Debug)]
pub(super) struct Refused {
    status: StatusCode,
    reason: String,
    answer: HopResponse,
}

impl Refused {
    fn new(status: StatusCode, verdict: Verdict, reason: impl Into<String>) -> Refused {
        let answer = HopResponse { verdict, load: None, health: None, service_time: None };
        Refused { status, reason: reason.into(), answer }
    }

    /// The request did not run and never will.
    pub(super) fn not_run(reason: impl Into<String>) -> Refused {
        Refused::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun, reason)
    }

    /// The deadline passed before the request was sent.
    pub(super) fn too_late() -> Refused {
        Refused::new(StatusCode::GATEWAY_TIMEOUT, Verdict::NotRun, "the deadline passed")
    }

    /// The deadline passed while the request ran.
    pub(super) fn timed_out() -> Refused {
        Refused::new(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun, "no answer in time")
    }

    /// The request was sent and its answer did not arrive whole.
    pub(super) fn broken(reason: impl Into<String>) -> Refused {
        Refused::new(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, reason)
    }

    /// The id of the request was here before.
    pub(super) fn duplicate(verdict: Verdict) -> Refused {
        Refused::new(StatusCode::CONFLICT, verdict, "the request was here before")
    }

    /// The head of the request is malformed.
    pub(super) fn malformed(e: &HopError) -> Refused {
        Refused::new(StatusCode::BAD_REQUEST, Verdict::NotRun, e.to_string())
    }

    /// Adds what is known of the server.
    pub(super) fn with_server(mut self, load: ServerLoad, health: HopHealth) -> Refused {
        self.answer.load = Some(load);
        self.answer.health = Some(health);
        self
    }

    pub(super) fn verdict(&self) -> Verdict {
        self.answer.verdict
    }

    pub(super) fn into_response(self) -> Response<OutgoingBody> {
        let mut answer = Response::new(empty());
        *answer.status_mut() = self.status;
        self.answer.write(answer.headers_mut());
        if let Ok(reason) = HeaderValue::try_from(self.reason) {
            answer.headers_mut().insert(headers::REASON, reason);
        }
        answer
    }
}

/// Answer to a peer that did not prove that it holds a shared key. It says nothing more.
pub(super) fn unauthenticated() -> Response<OutgoingBody> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = StatusCode::UNAUTHORIZED;
    answer
}
