//! Request bodies of which a response may not await the end.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Time for a client to read the end of a response and close the connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a request that a server has received. If it is dropped before its end, its rest is
/// discarded in the background for up to two seconds.
///
/// A response may come before the whole request. An HTTP library closes the connection once the
/// response is written and nothing reads the request any more. Closing a connection with unread
/// bytes resets it, and the client then loses the part of the response that it has not received.
#[derive(Debug)]
pub struct DiscardRest {
    /// `None` once the body is being discarded.
    body: Option<Incoming>,
}

impl DiscardRest {
    /// Wraps `body`. Must be dropped within a Tokio runtime.
    pub fn new(body: Incoming) -> DiscardRest {
        DiscardRest { body: Some(body) }
    }
}

impl Drop for DiscardRest {
    fn drop(&mut self) {
        let Some(mut body) = self.body.take().filter(|body| !body.is_end_stream()) else { return };
        // The runtime may be shutting down, and the connection ends with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let discard = async { while let Some(Ok(_)) = body.frame().await {} };
                let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
            });
        }
    }
}

impl Body for DiscardRest {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}
