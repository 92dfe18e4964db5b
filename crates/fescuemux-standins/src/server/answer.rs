//! Response bodies: buffered, generated in chunks, or truncated.

use super::content::response_byte;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest chunk passed to the connection at a time, in bytes.
const MAX_FRAME_BYTES: u64 = 16 * 1024;

/// Source of the bytes of a body.
#[derive(Debug)]
enum Source {
    Buffered(Bytes),
    Generated { seed: u64, total_bytes: u64 },
}

/// Response body of known length. A truncated body fails after half of its bytes.
#[derive(Debug)]
pub(super) struct ResponseBody {
    source: Source,
    sent: u64,
    send_limit: u64,
    flush_requested: bool,
}

impl ResponseBody {
    pub(super) fn buffered(body: impl Into<Bytes>) -> ResponseBody {
        let body = body.into();
        let send_limit = body.len() as u64;
        ResponseBody { source: Source::Buffered(body), sent: 0, send_limit, flush_requested: false }
    }

    pub(super) fn generated(seed: u64, total_bytes: u64) -> ResponseBody {
        ResponseBody {
            source: Source::Generated { seed, total_bytes },
            sent: 0,
            send_limit: total_bytes,
            flush_requested: false,
        }
    }

    /// Makes the body fail after half of its bytes.
    pub(super) fn truncated(mut self) -> ResponseBody {
        self.send_limit = self.total_bytes() / 2;
        self
    }

    fn total_bytes(&self) -> u64 {
        match &self.source {
            Source::Buffered(body) => body.len() as u64,
            Source::Generated { total_bytes, .. } => *total_bytes,
        }
    }

    fn chunk(&self, from: u64, to: u64) -> Bytes {
        match &self.source {
            Source::Buffered(body) => body.slice(from as usize..to as usize),
            Source::Generated { seed, .. } => {
                (from..to).map(|index| response_byte(*seed, index)).collect()
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.sent < self.send_limit {
            let to = self.send_limit.min(self.sent + MAX_FRAME_BYTES);
            let chunk = self.chunk(self.sent, to);
            self.sent = to;
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.send_limit == self.total_bytes() {
            return Poll::Ready(None);
        }
        // hyper flushes its write buffer only when the body is pending. Failing at once would
        // discard the first half from the buffer.
        if !self.flush_requested {
            self.flush_requested = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::Error::other("response truncated by the configured fault"))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.total_bytes()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.total_bytes() - self.sent)
    }
}
