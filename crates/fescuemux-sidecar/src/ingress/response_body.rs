//! Bodies of responses to callers.

use super::exchange::Exchange;
use crate::memory::{ActiveRequest, MemoryHold};
use bytes::Bytes;
use http::{HeaderValue, Response, header};
use hyper::body::{Body, Frame as HttpFrame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum size of a part that is passed to the HTTP library, which takes the next one only when it
/// has written most of the last. The rest counts as held until then.
const PART_BYTES: usize = 16 * 1024;

/// Response body that is buffered completely, or whose start is buffered and whose rest is received
/// from a guard while the body is sent.
#[derive(Debug)]
pub(super) struct ResponseBody {
    buffered: VecDeque<Bytes>,
    len: Option<u64>,
    /// Exchange in which the rest of the body arrives, unless all of it is buffered.
    exchange: Option<Box<Exchange>>,
    /// Memory of `buffered`, unless the body is generated.
    hold: Option<MemoryHold>,
    /// Keeps the connection from being closed as idle.
    active: Option<ActiveRequest>,
}

impl ResponseBody {
    /// Returns a body that is completely buffered.
    pub(super) fn complete(body: Bytes) -> ResponseBody {
        ResponseBody {
            len: Some(body.len() as u64),
            buffered: VecDeque::from([body]),
            exchange: None,
            hold: None,
            active: None,
        }
    }

    /// Returns a body of `len` bytes, if known, that starts with `buffered` and continues with
    /// the frames of `exchange`.
    pub(super) fn streaming(buffered: Bytes, len: Option<u64>, exchange: Exchange) -> ResponseBody {
        let exchange = Some(Box::new(exchange));
        ResponseBody {
            buffered: VecDeque::from([buffered]),
            len,
            exchange,
            hold: None,
            active: None,
        }
    }

    /// Keeps `hold` until the buffered part has been sent.
    pub(super) fn with_hold(self, hold: MemoryHold) -> ResponseBody {
        ResponseBody { hold: Some(hold), ..self }
    }

    /// Keeps `active` until the body of `response` has been sent, and lets the connection end after
    /// it if it should.
    pub(super) fn keep_active(
        mut response: Response<ResponseBody>,
        active: ActiveRequest,
    ) -> Response<ResponseBody> {
        if active.should_close() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.map(|body| ResponseBody { active: Some(active), ..body })
    }
}

impl ResponseBody {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<HttpFrame<Bytes>>>> {
        while let Some(mut chunk) = self.buffered.pop_front() {
            if chunk.len() > PART_BYTES {
                let rest = chunk.split_off(PART_BYTES);
                self.buffered.push_front(rest);
            }
            if !chunk.is_empty() {
                return Poll::Ready(Some(Ok(HttpFrame::data(chunk))));
            }
        }
        self.hold = None;
        let Some(exchange) = &mut self.exchange else { return Poll::Ready(None) };
        match futures::ready!(exchange.poll_chunk(cx)) {
            Ok(Some(chunk)) => Poll::Ready(Some(Ok(HttpFrame::data(chunk)))),
            Ok(None) => {
                self.exchange = None;
                Poll::Ready(None)
            }
            // The error closes the caller's connection, so the caller sees a truncated body.
            Err(e) => Poll::Ready(Some(Err(io::Error::other(e)))),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<HttpFrame<Bytes>>>> {
        let frame = self.poll_part(cx);
        if let Some(active) = &self.active {
            active.on_response(frame.is_ready());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.exchange.is_none() && self.buffered.iter().all(|chunk| chunk.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.buffered.iter().map(|chunk| chunk.len() as u64).sum();
        match (&self.exchange, self.len) {
            (None, _) => SizeHint::with_exact(buffered),
            (Some(_), Some(len)) => SizeHint::with_exact(len),
            (Some(_), None) => SizeHint::default(),
        }
    }
}
