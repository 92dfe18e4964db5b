//! Bodies of answers to callers.

use crate::hop::{Frame, HopConnection, Message};
use bytes::Bytes;
use futures::StreamExt;
use hyper::body::{Body, Frame as HttpFrame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that is held, or that still arrives from a guard.
#[derive(Debug)]
pub(super) struct AnswerBody {
    held: VecDeque<Bytes>,
    len: Option<u64>,
    rest: Option<Box<HopConnection>>,
}

impl AnswerBody {
    /// Returns a body that is held as a whole.
    pub(super) fn whole(body: Bytes) -> AnswerBody {
        AnswerBody { len: Some(body.len() as u64), held: VecDeque::from([body]), rest: None }
    }

    /// Returns a body whose pieces after `held` arrive on `rest`.
    pub(super) fn streaming(held: Bytes, len: Option<u64>, rest: HopConnection) -> AnswerBody {
        AnswerBody { held: VecDeque::from([held]), len, rest: Some(Box::new(rest)) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<HttpFrame<Bytes>>>> {
        while let Some(piece) = self.held.pop_front() {
            if !piece.is_empty() {
                return Poll::Ready(Some(Ok(HttpFrame::data(piece))));
            }
        }
        let Some(hop) = &mut self.rest else { return Poll::Ready(None) };
        match futures::ready!(hop.frames.poll_next_unpin(cx)) {
            Some(Ok(Frame::Message(Message::Stuck))) => self.poll_frame(cx),
            Some(Ok(Frame::Body(piece))) => Poll::Ready(Some(Ok(HttpFrame::data(piece)))),
            Some(Ok(Frame::Message(Message::End))) => {
                self.rest = None;
                Poll::Ready(None)
            }
            // The caller's connection ends before the body does, so the answer looks cut.
            Some(Ok(Frame::Message(_))) | None => {
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
            Some(Err(e)) => Poll::Ready(Some(Err(e))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.held.iter().all(|piece| piece.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        let held: u64 = self.held.iter().map(|piece| piece.len() as u64).sum();
        match (&self.rest, self.len) {
            (None, _) => SizeHint::with_exact(held),
            (Some(_), Some(len)) => SizeHint::with_exact(len),
            (Some(_), None) => SizeHint::default(),
        }
    }
}
