//! Answer bodies: whole, generated piece by piece, or cut.

use super::content::response_byte;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest piece handed to the connection at a time, in bytes.
const PIECE_BYTES: u64 = 16 * 1024;

/// Where the bytes of a body come from.
#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Generated { seed: u64, total: u64 },
}

/// Answer body of known length. A cut body fails after half of its bytes.
#[derive(Debug)]
pub(super) struct Answer {
    source: Source,
    sent: u64,
    end: u64,
    flushed: bool,
}

impl Answer {
    pub(super) fn whole(body: impl Into<Bytes>) -> Answer {
        let body = body.into();
        let end = body.len() as u64;
        Answer { source: Source::Whole(body), sent: 0, end, flushed: false }
    }

    pub(super) fn generated(seed: u64, total: u64) -> Answer {
        Answer { source: Source::Generated { seed, total }, sent: 0, end: total, flushed: false }
    }

    /// Ends the body with an error after half of its bytes.
    pub(super) fn cut(mut self) -> Answer {
        self.end = self.total() / 2;
        self
    }

    fn total(&self) -> u64 {
        match &self.source {
            Source::Whole(body) => body.len() as u64,
            Source::Generated { total, .. } => *total,
        }
    }

    fn piece(&self, from: u64, to: u64) -> Bytes {
        match &self.source {
            Source::Whole(body) => body.slice(from as usize..to as usize),
            Source::Generated { seed, .. } => {
                (from..to).map(|index| response_byte(*seed, index)).collect()
            }
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.sent < self.end {
            let to = self.end.min(self.sent + PIECE_BYTES);
            let piece = self.piece(self.sent, to);
            self.sent = to;
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if self.end == self.total() {
            return Poll::Ready(None);
        }
        // The connection writes out its buffer only when the body is pending, and an error
        // would discard the buffered half.
        if !self.flushed {
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::Error::other("answer cut by the configured fault"))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.total()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.total() - self.sent)
    }
}
