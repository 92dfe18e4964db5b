//! Response body that holds the slot of its request until the body ends.

use super::work::InFlightRequest;
use crate::http::{BodyError, RelayedBody};
use bytes::Bytes;
use fescuemux_core::detect::Outcome;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Streamed response body. Dropping it before its end reports the request as canceled.
pub(super) struct InFlightBody {
    body: RelayedBody,
    in_flight: Option<InFlightRequest>,
    outcome: Outcome,
    latency: Duration,
}

impl InFlightBody {
    /// Wraps `body`. When the body has ended without an error, `outcome` is reported. The reported
    /// latency is always the time until the response head.
    pub(super) fn new(
        body: RelayedBody,
        in_flight: InFlightRequest,
        outcome: Outcome,
    ) -> InFlightBody {
        let latency = in_flight.elapsed();
        InFlightBody { body, in_flight: Some(in_flight), outcome, latency }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(outcome, self.latency);
        }
    }
}

impl Body for InFlightBody {
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
            // A body without progress or over the size limit is not evidence against the server.
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
