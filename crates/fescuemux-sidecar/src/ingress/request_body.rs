//! Bodies of requests from callers.

use super::CallerResponse;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::RefCell;
use tracing::info;

/// Bytes buffered before a slot is reserved. A body within this size can be sent again; a longer
/// one is streamed and sent only once.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Request body, of which at least the start is buffered.
#[derive(Debug)]
pub(super) struct RequestBody {
    /// Bytes read so far.
    pub(super) buffered: Bytes,
    /// Length in bytes, if known.
    pub(super) len: Option<u64>,
    remaining: RefCell<Option<Incoming>>,
    is_streamed: bool,
}

impl RequestBody {
    /// Reads a body until its end or until the buffer is full. `limit` is in bytes.
    ///
    /// # Errors
    /// Returns the response if the body is too long or incomplete.
    pub(super) async fn read(
        mut body: Incoming,
        limit: u64,
    ) -> Result<RequestBody, CallerResponse> {
        let len = body.size_hint().exact();
        if len.is_some_and(|len| len > limit) {
            return Err(CallerResponse::refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                None,
            ));
        }
        let mut buffered = BytesMut::new();
        loop {
            if buffered.len() > MAX_BUFFERED_BYTES {
                let remaining = RefCell::new(Some(body));
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
        let len = Some(buffered.len() as u64);
        Ok(RequestBody {
            buffered: buffered.freeze(),
            len,
            remaining: RefCell::new(None),
            is_streamed: false,
        })
    }

    /// Returns the unbuffered rest of the body, only to the first attempt.
    pub(super) fn take_remaining(&self) -> Option<Incoming> {
        self.remaining.borrow_mut().take()
    }

    /// Returns whether the body can be sent from its first byte.
    pub(super) fn is_replayable(&self) -> bool {
        !self.is_streamed || self.remaining.borrow().is_some()
    }
}
