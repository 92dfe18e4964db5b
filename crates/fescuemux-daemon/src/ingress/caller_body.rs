//! Body of a caller's request, and whether it can still be sent.

use super::ErrorResponse;
use crate::http::{
    BodyError, HttpLimits, OutgoingBody, RelayLimits, RelayedBody, UnsentBody, deferred, empty,
    full, is_replayable, read_all, relay,
};
use bytes::Bytes;
use fescuemux_core::base::Verdict;
use fescuemux_http::DiscardRest;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Body of a request.
#[derive(Clone)]
pub(super) enum CallerBody {
    /// The request has no body.
    Empty,
    /// Held in memory; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed; can be sent until a receiver has started to read it.
    Streamed(UnsentBody),
}

impl CallerBody {
    /// Reads a body into memory if it is known to fit into [`HttpLimits::max_replay_bytes`];
    /// otherwise leaves the body unread.
    pub(super) async fn receive(
        body: Incoming,
        limits: &HttpLimits,
        deadline: Instant,
    ) -> Result<CallerBody, ErrorResponse> {
        if body.is_end_stream() {
            return Ok(CallerBody::Empty);
        }
        let size_hint = body.size_hint();
        if size_hint.lower() > limits.max_body_bytes {
            return Err(ErrorResponse::too_large(limits.max_body_bytes));
        }
        let relay_limits =
            RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
        if !is_replayable(&size_hint, limits.max_replay_bytes) {
            let unsent = Arc::new(Mutex::new(Some(relay(DiscardRest::new(body), relay_limits))));
            return Ok(CallerBody::Streamed(unsent));
        }
        match timeout_at(deadline.into(), read_all(body, relay_limits)).await {
            Ok(Ok(content)) => Ok(CallerBody::Buffered(content)),
            Ok(Err(BodyError::Idle)) | Err(_) => {
                let reason = "the body did not arrive in time";
                Err(ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, Verdict::NotRun, reason))
            }
            Ok(Err(e)) => Err(ErrorResponse::bad_request(e.to_string())),
        }
    }

    /// Reads and drops a streamed body that no receiver has started to read, see [`discard`].
    pub(super) fn discard(&self) {
        let CallerBody::Streamed(unsent) = self else { return };
        let unread_body = unsent.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(unread_body) = unread_body {
            drain(unread_body);
        }
    }

    /// Returns whether the body can be sent from its beginning.
    pub(super) fn can_be_sent(&self) -> bool {
        match self {
            CallerBody::Empty | CallerBody::Buffered(_) => true,
            CallerBody::Streamed(unsent) => {
                unsent.lock().unwrap_or_else(PoisonError::into_inner).is_some()
            }
        }
    }

    /// Returns the body to send. A streamed body starts once the returned sender has fired.
    pub(super) fn outgoing_body(&self) -> (OutgoingBody, Option<oneshot::Sender<()>>) {
        match self {
            CallerBody::Empty => (empty(), None),
            CallerBody::Buffered(content) => (full(content.clone()), None),
            CallerBody::Streamed(unsent) => {
                let (tx, rx) = oneshot::channel();
                (deferred(unsent, rx), Some(tx))
            }
        }
    }
}

/// Reads and drops a body in the background, up to the size limit and the idle timeout. A body
/// whose declared length exceeds the size limit is not read.
///
/// Closing a connection with unread bytes resets the connection. The caller may then lose the
/// response, which says that the request did not run.
pub(super) fn discard(body: Incoming, limits: &HttpLimits) {
    if body.is_end_stream() || body.size_hint().lower() > limits.max_body_bytes {
        return;
    }
    let relay_limits =
        RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
    drain(relay(body, relay_limits));
}

fn drain(mut body: RelayedBody) {
    tokio::spawn(async move { while let Some(Ok(_)) = body.frame().await {} });
}
