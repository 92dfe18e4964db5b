//! Bodies of requests from callers.

use super::CallerResponse;
use bytes::{Bytes, BytesMut};
use fescuemux_http::DiscardRest;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::RefCell;
use tracing::info;

/// Number of body bytes buffered before a slot is reserved. A body within this size can be sent
/// again; a longer body is streamed and sent only once.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Request body. It is buffered completely, or up to about [`MAX_BUFFERED_BYTES`].
#[derive(Debug)]
pub(super) struct RequestBody {
    /// The complete body, or the start of a body that is streamed.
    pub(super) buffered: Bytes,
    /// Length of the complete body in bytes, if known.
    pub(super) len: Option<u64>,
    remaining: RefCell<Option<DiscardRest>>,
    is_streamed: bool,
}

impl RequestBody {
    /// Reads a body until its end or until the buffer is full.
    ///
    /// # Errors
    /// Returns the response to send if the body breaks off or its `Content-Length` exceeds
    /// `max_len`. The length of a chunked body is not checked.
    pub(super) async fn read(
        mut body: Incoming,
        max_len: u64,
    ) -> Result<RequestBody, CallerResponse> {
        let len = body.size_hint().exact();
        if len.is_some_and(|len| len > max_len) {
            return Err(CallerResponse::refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                None,
            ));
        }
        let mut buffered = BytesMut::new();
        loop {
            if buffered.len() > MAX_BUFFERED_BYTES {
                let remaining = RefCell::new(Some(DiscardRest::new(body)));
                return Ok(RequestBody {
                    buffered: buffered.freeze(),
                    len,
                    remaining,
                    is_streamed: true,
                });
            }
            match body.frame().await {
                None => break,
                Some(Ok(frame)) => {
                    buffered.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
                Some(Err(e)) => {
                    info!(event = "body_broken", error = %e);
                    return Err(CallerResponse::refused(
                        StatusCode::BAD_REQUEST,
                        "body_broken",
                        None,
                    ));
                }
            }
        }
        Ok(RequestBody::buffered(buffered.freeze()))
    }

    /// Returns a body that is completely buffered.
    pub(super) fn buffered(buffered: Bytes) -> RequestBody {
        let len = Some(buffered.len() as u64);
        RequestBody { buffered, len, remaining: RefCell::new(None), is_streamed: false }
    }

    /// Takes the unbuffered rest of the body. Only the first call can return it.
    pub(super) fn take_remaining(&self) -> Option<DiscardRest> {
        self.remaining.borrow_mut().take()
    }

    /// Returns whether the complete body can still be sent: it is buffered, or no attempt has taken
    /// its unbuffered rest.
    pub(super) fn is_replayable(&self) -> bool {
        !self.is_streamed || self.remaining.borrow().is_some()
    }
}
