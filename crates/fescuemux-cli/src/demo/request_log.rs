//! What the callers of the demo saw.

use std::sync::{Mutex, PoisonError};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Idempotent read.
    Read,
    /// Booking that must run at most once.
    Booking,
}

/// Answer as a caller saw it.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) verdict: String,
    pub(super) reason: String,
    pub(super) body: String,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) kind: Kind,
    /// Tag that the backend server echoes, and idempotency key.
    pub(super) tag: String,
    pub(super) answer: Option<Answer>,
    /// Why no whole answer arrived.
    pub(super) cut: Option<String>,
}

impl Sent {
    pub(super) fn new(kind: Kind, tag: String) -> Sent {
        Sent { kind, tag, answer: None, cut: None }
    }

    pub(super) fn take(&mut self, answer: Result<Answer, String>) {
        match answer {
            Ok(answer) => self.answer = Some(answer),
            Err(e) => self.cut = Some(e),
        }
    }

    /// Returns whether a backend server's answer arrived.
    pub(super) fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }

    /// Returns whether an answer belongs to another request.
    pub(super) fn is_wrong(&self) -> bool {
        self.is_success()
            && !self.answer.as_ref().is_some_and(|answer| answer.body.contains(&self.tag))
    }
}

/// All requests of a run.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    sent: Mutex<Vec<Sent>>,
}

impl RequestLog {
    pub(super) fn add(&self, sent: Sent) {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
    }

    pub(super) fn take(&self) -> Vec<Sent> {
        std::mem::take(&mut *self.sent.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
