//! Bodies of responses to callers.

use super::exchange::Exchange;
use bytes::Bytes;
use hyper::body::{Body, Frame as HttpFrame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Response body that is buffered completely, or whose start is buffered and whose rest is received
/// from a guard while the body is sent.
#[derive(Debug)]
pub(super) struct ResponseBody {
    buffered: VecDeque<Bytes>,
    len: Option<u64>,
    /// Exchange in which the rest of the body arrives, unless all of it is buffered.
    exchange: Option<Box<Exchange>>,
}

impl ResponseBody {
    /// Returns a body that is completely buffered.
    pub(super) fn complete(body: Bytes) -> ResponseBody {
        ResponseBody {
            len: Some(body.len() as u64),
            buffered: VecDeque::from([body]),
            exchange: None,
        }
    }

    /// Returns a body of `len` bytes, if known, that starts with `buffered` and continues with
    /// the frames of `exchange`.
    pub(super) fn streaming(buffered: Bytes, len: Option<u64>, exchange: Exchange) -> ResponseBody {
        let exchange = Some(Box::new(exchange));
        ResponseBody { buffered: VecDeque::from([buffered]), len, exchange }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<HttpFrame<Bytes>>>> {
        while let Some(chunk) = self.buffered.pop_front() {
            if !chunk.is_empty() {
                return Poll::Ready(Some(Ok(HttpFrame::data(chunk))));
            }
        }
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
