//! Bodies of responses to callers.

use crate::hop::{Frame, HopConnection, Message};
use bytes::Bytes;
use futures::StreamExt;
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
    /// Connection on which the rest of the body arrives, unless all of it is buffered.
    hop: Option<Box<HopConnection>>,
}

impl ResponseBody {
    /// Returns a body that is completely buffered.
    pub(super) fn complete(body: Bytes) -> ResponseBody {
        ResponseBody { len: Some(body.len() as u64), buffered: VecDeque::from([body]), hop: None }
    }

    /// Returns a body of `len` bytes, if known, that starts with `buffered` and continues with
    /// the frames of `hop`.
    pub(super) fn streaming(buffered: Bytes, len: Option<u64>, hop: HopConnection) -> ResponseBody {
        ResponseBody { buffered: VecDeque::from([buffered]), len, hop: Some(Box::new(hop)) }
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
        let Some(hop) = &mut self.hop else { return Poll::Ready(None) };
        match futures::ready!(hop.frames.poll_next_unpin(cx)) {
            Some(Ok(Frame::Message(Message::Evicted))) => self.poll_frame(cx),
            Some(Ok(Frame::Body(chunk))) => Poll::Ready(Some(Ok(HttpFrame::data(chunk)))),
            Some(Ok(Frame::Message(Message::End))) => {
                self.hop = None;
                Poll::Ready(None)
            }
            // The error closes the caller's connection, so the caller sees a truncated body.
            Some(Ok(Frame::Message(_))) | None => {
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
            Some(Err(e)) => Poll::Ready(Some(Err(e))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.hop.is_none() && self.buffered.iter().all(|chunk| chunk.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.buffered.iter().map(|chunk| chunk.len() as u64).sum();
        match (&self.hop, self.len) {
            (None, _) => SizeHint::with_exact(buffered),
            (Some(_), Some(len)) => SizeHint::with_exact(len),
            (Some(_), None) => SizeHint::default(),
        }
    }
}
