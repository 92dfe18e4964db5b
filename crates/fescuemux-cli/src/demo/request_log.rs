//! Log of the requests that the callers of the demo sent.

use std::sync::{Mutex, PoisonError};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Idempotent read.
    Read,
    /// Booking, which must run at most once.
    Booking,
}

/// Response as received by a caller.
#[derive(Clone, Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) verdict: String,
    pub(super) reason: String,
    pub(super) body: String,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) kind: RequestKind,
    /// Tag that the backend server echoes. It is also the idempotency key.
    pub(super) tag: String,
    pub(super) response: Option<Response>,
    /// Reason why no complete response arrived.
    pub(super) failure: Option<String>,
}

impl RequestRecord {
    pub(super) fn new(kind: RequestKind, tag: String) -> RequestRecord {
        RequestRecord { kind, tag, response: None, failure: None }
    }

    pub(super) fn set_result(&mut self, result: Result<Response, String>) {
        match result {
            Ok(response) => self.response = Some(response),
            Err(e) => self.failure = Some(e),
        }
    }

    /// Returns whether a successful response arrived.
    pub(super) fn is_success(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.status == 200)
    }

    /// Returns whether a successful response lacks the tag of this request.
    pub(super) fn has_wrong_response(&self) -> bool {
        self.is_success()
            && !self.response.as_ref().is_some_and(|response| response.body.contains(&self.tag))
    }
}

/// All requests of a run.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    requests: Mutex<Vec<RequestRecord>>,
}

impl RequestLog {
    pub(super) fn add(&self, record: RequestRecord) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    pub(super) fn take_all(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut *self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
