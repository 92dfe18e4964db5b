//! Bodies of callers' requests.

use super::Answer;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::RefCell;
use tracing::info;

/// Bytes that are held before the request is placed. A body within it can be sent again; a
/// longer one streams and is sent once.
const HELD_BYTES: usize = 512 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(super) struct RequestBody {
    /// Bytes read so far.
    pub(super) held: Bytes,
    /// Length, if it is known.
    pub(super) len: Option<u64>,
    rest: RefCell<Option<Incoming>>,
    streams: bool,
}

impl RequestBody {
    /// Reads a body up to its end or to the bytes that are held.
    ///
    /// # Errors
    /// Returns the answer when the body is too long or breaks off.
    pub(super) async fn read(mut body: Incoming, limit: u64) -> Result<RequestBody, Answer> {
        let len = body.size_hint().exact();
        if len.is_some_and(|len| len > limit) {
            return Err(Answer::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", None));
        }
        let mut held = BytesMut::new();
        loop {
            if held.len() > HELD_BYTES {
                let rest = RefCell::new(Some(body));
                return Ok(RequestBody { held: held.freeze(), len, rest, streams: true });
            }
            match body.frame().await {
                None => break,
                Some(Ok(frame)) => {
                    held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
                Some(Err(e)) => {
                    info!(event = "body_broken", error = %e);
                    return Err(Answer::refused(StatusCode::BAD_REQUEST, "body_broken", None));
                }
            }
        }
        let len = Some(held.len() as u64);
        Ok(RequestBody { held: held.freeze(), len, rest: RefCell::new(None), streams: false })
    }

    /// Returns what was not held; only the first attempt gets it.
    pub(super) fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }

    /// Returns whether the body can be sent (again) from its first byte.
    pub(super) fn is_whole(&self) -> bool {
        !self.streams || self.rest.borrow().is_some()
    }
}
