//! Body of an answer that holds the slot of its request until its end.

use super::work::Work;
use crate::http::{BodyError, RelayedBody};
use bytes::Bytes;
use fescuemux_core::detect::Outcome;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Streamed body of an answer. Dropped before its end, it cancels the work.
pub(super) struct WorkBody {
    body: RelayedBody,
    work: Option<Work>,
    outcome: Outcome,
    latency: Duration,
}

impl WorkBody {
    /// `outcome` and `latency` are reported when the body ends whole.
    pub(super) fn new(body: RelayedBody, work: Work, outcome: Outcome) -> WorkBody {
        let latency = work.elapsed();
        WorkBody { body, work: Some(work), outcome, latency }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(work) = self.work.take() {
            work.finish(outcome, self.latency);
        }
    }
}

impl Body for WorkBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => {
                let outcome = self.outcome;
                self.finish(outcome);
            }
            // A slow receiver is no evidence against the server.
            Poll::Ready(Some(Err(BodyError::Idle | BodyError::TooLarge))) => {
                self.finish(Outcome::Canceled);
            }
            Poll::Ready(Some(Err(BodyError::Source(_)))) => self.finish(Outcome::Cut),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
