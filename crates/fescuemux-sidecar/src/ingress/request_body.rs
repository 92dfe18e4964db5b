//! Bodies of requests from callers.

use super::{CallerResponse, DEFAULT_RETRY_AFTER};
use crate::memory::{HeldBuffer, MemoryHold};
use bytes::Bytes;
use fescuemux_http::DiscardRest;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::cell::RefCell;
use std::rc::Rc;
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
    /// Memory of `buffered`.
    pub(super) hold: Rc<MemoryHold>,
    /// Maximum length of the unbuffered rest.
    pub(super) max_remaining: u64,
    remaining: RefCell<Option<DiscardRest>>,
    is_streamed: bool,
}

impl RequestBody {
    /// Reads a body until its end or until the buffer is full.
    ///
    /// # Errors
    /// Returns the response to send if the body breaks off, is longer than `max_len`, or must give up
    /// its memory.
    pub(super) async fn read(
        mut body: Incoming,
        max_len: u64,
        hold: Rc<MemoryHold>,
    ) -> Result<RequestBody, CallerResponse> {
        let too_large =
            || CallerResponse::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", None);
        let len = body.size_hint().exact();
        if len.is_some_and(|len| len > max_len) {
            return Err(too_large());
        }
        let mut buffered = HeldBuffer::default();
        loop {
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok(RequestBody {
                    max_remaining: max_len - buffered.len() as u64,
                    buffered: buffered.into_bytes(),
                    len,
                    hold,
                    remaining: RefCell::new(Some(DiscardRest::new(body))),
                    is_streamed: true,
                });
            }
            let frame = hold.read(body.frame(), frame_len).await;
            match frame.map_err(|_| memory_exhausted())? {
                None => break,
                Some(Ok(frame)) => {
                    let chunk = frame.data_ref().map_or(&[][..], |chunk| chunk);
                    let growth = buffered.growth(chunk.len(), len);
                    let refusal = if (buffered.len() + chunk.len()) as u64 > max_len {
                        Some(too_large())
                    } else {
                        hold.grow(growth).await.is_err().then(memory_exhausted)
                    };
                    if let Some(refusal) = refusal {
                        // The client would lose the refusal if the rest were not read.
                        drop(DiscardRest::new(body));
                        return Err(refusal);
                    }
                    buffered.extend(growth, chunk);
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
        Ok(RequestBody::buffered(buffered.into_bytes(), hold))
    }

    /// Returns a body that is completely buffered.
    pub(super) fn buffered(buffered: Bytes, hold: Rc<MemoryHold>) -> RequestBody {
        let len = Some(buffered.len() as u64);
        RequestBody {
            buffered,
            len,
            hold,
            max_remaining: 0,
            remaining: RefCell::new(None),
            is_streamed: false,
        }
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

/// Returns the response to a request that gave up its memory before it was sent to a guard.
pub(super) fn memory_exhausted() -> CallerResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    CallerResponse::refused(status, "memory", Some(DEFAULT_RETRY_AFTER))
}

/// Returns the number of body bytes that a read has returned.
pub(super) fn frame_len<E>(frame: &Option<Result<Frame<Bytes>, E>>) -> usize {
    match frame {
        Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
        Some(Err(_)) | None => 0,
    }
}
