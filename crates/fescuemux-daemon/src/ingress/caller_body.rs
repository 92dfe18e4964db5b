//! Body of a caller's request, as far as it can still be sent.

use super::ErrorResponse;
use crate::http::{
    BodyError, HttpLimits, OutgoingBody, RelayLimits, RelayedBody, UnsentBody, deferred, empty,
    full, is_replayable, read_all, relay,
};
use bytes::Bytes;
use fescuemux_core::base::Verdict;
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
    /// There is none.
    Empty,
    /// Held in memory; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed; can be sent as long as no receiver has begun to take it.
    Streamed(UnsentBody),
}

impl CallerBody {
    /// Takes small bodies into memory and leaves larger ones with the caller.
    pub(super) async fn take(
        body: Incoming,
        limits: &HttpLimits,
        deadline: Instant,
    ) -> Result<CallerBody, ErrorResponse> {
        if body.is_end_stream() {
            return Ok(CallerBody::Empty);
        }
        let size = body.size_hint();
        if size.lower() > limits.max_body_bytes {
            return Err(ErrorResponse::too_large(limits.max_body_bytes));
        }
        let pump =
            RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
        if !is_replayable(&size, limits.max_replay_bytes) {
            let held = Arc::new(Mutex::new(Some(relay(body, pump))));
            return Ok(CallerBody::Streamed(held));
        }
        match timeout_at(deadline.into(), read_all(body, pump)).await {
            Ok(Ok(content)) => Ok(CallerBody::Buffered(content)),
            Ok(Err(BodyError::Idle)) | Err(_) => {
                let reason = "the body did not arrive in time";
                Err(ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, Verdict::NotRun, reason))
            }
            Ok(Err(e)) => Err(ErrorResponse::bad_request(e.to_string())),
        }
    }

    /// Reads and drops what the caller still sends, see [`discard`].
    pub(super) fn discard(&self) {
        let CallerBody::Streamed(held) = self else { return };
        let rest = held.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(rest) = rest {
            read_and_drop(rest);
        }
    }

    /// Returns whether the body can be sent from its beginning.
    pub(super) fn is_whole(&self) -> bool {
        match self {
            CallerBody::Empty | CallerBody::Buffered(_) => true,
            CallerBody::Streamed(held) => {
                held.lock().unwrap_or_else(PoisonError::into_inner).is_some()
            }
        }
    }

    /// Returns the body to send, and the sender that opens it when it waits for an invitation.
    pub(super) fn outgoing(&self) -> (OutgoingBody, Option<oneshot::Sender<()>>) {
        match self {
            CallerBody::Empty => (empty(), None),
            CallerBody::Buffered(content) => (full(content.clone()), None),
            CallerBody::Streamed(held) => {
                let (tx, rx) = oneshot::channel();
                (deferred(held, rx), Some(tx))
            }
        }
    }
}

/// Reads and drops a body in the background, within the limits.
///
/// Closing a connection with unread bytes resets it, and the caller then loses the answer that
/// told it that its upload did not run.
pub(super) fn discard(body: Incoming, limits: &HttpLimits) {
    if body.is_end_stream() || body.size_hint().lower() > limits.max_body_bytes {
        return;
    }
    let pump = RelayLimits { idle_timeout: limits.idle_timeout, max_bytes: limits.max_body_bytes };
    read_and_drop(relay(body, pump));
}

fn read_and_drop(mut body: RelayedBody) {
    tokio::spawn(async move { while let Some(Ok(_)) = body.frame().await {} });
}
