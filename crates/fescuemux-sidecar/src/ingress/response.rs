//! Answers to callers.

use super::AnswerBody;
use bytes::Bytes;
use fescuemux_core::base::{InstanceId, Verdict};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Shortest and longest time that a caller is told to stay away. Less sends it back before a
/// slot can be free; more would outlast most callers' patience.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// An answer, made by a backend server or by the fleet.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) body: AnswerBody,
    /// Why the fleet answered itself; `None` for a server's answer.
    pub(super) reason: Option<&'static str>,
    pub(super) verdict: Verdict,
    pub(super) retry_in: Option<Duration>,
    /// Instance whose server answered.
    pub(super) peer: Option<InstanceId>,
}

impl Answer {
    /// Returns the answer to a request that did not run and never will.
    pub(super) fn refused(
        status: StatusCode,
        reason: &'static str,
        retry_in: Option<Duration>,
    ) -> Answer {
        Answer {
            status,
            headers: Vec::new(),
            body: AnswerBody::whole(Bytes::from_static(reason.as_bytes())),
            reason: Some(reason),
            verdict: Verdict::NotRun,
            retry_in: retry_in.map(|retry| retry.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1)),
            peer: None,
        }
    }

    /// Returns the answer to a request that may have run.
    pub(super) fn unknown(status: StatusCode, reason: &'static str) -> Answer {
        let refused = Answer::refused(status, reason, None);
        Answer { verdict: Verdict::MayHaveRun, ..refused }
    }

    /// Returns whether a server ran the request and failed.
    pub(super) fn is_server_error(&self) -> bool {
        self.status.is_server_error()
    }

    /// Returns the response for the caller.
    pub(super) fn into_response(self, id_header: &'static str, id: &str) -> Response<AnswerBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        for (name, value) in self.headers {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::from_bytes(&value);
            // A head that was parsed holds only valid names and values.
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        let made_here = self.reason.is_some();
        if let Some(id) = HeaderValue::from_str(id).ok().filter(|_| made_here) {
            response.headers_mut().insert(HeaderName::from_static(id_header), id);
        }
        if let Some(retry) = self.retry_in {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}
