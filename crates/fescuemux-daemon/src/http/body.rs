//! Bodies that the daemon sends.

use super::pump::RelayedBody;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::sync::oneshot;

/// Body of any request or response that the daemon sends.
pub(crate) type OutgoingBody = BoxBody<Bytes, BodyError>;

/// Failure of a streamed body. The error aborts the message, so that the receiver detects the
/// truncation.
#[derive(Clone, Debug, Error)]
pub(crate) enum BodyError {
    /// The source sent nothing within the idle timeout.
    #[error("no progress on the body within the idle time")]
    Idle,
    /// The body has more bytes than permitted.
    #[error("the body exceeds the permitted size")]
    TooLarge,
    /// The source of the body failed.
    #[error("the source of the body failed: {0}")]
    Source(String),
}

/// Returns a body without content.
pub(crate) fn empty() -> OutgoingBody {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body with `content`.
pub(crate) fn full(content: impl Into<Bytes>) -> OutgoingBody {
    Full::new(content.into()).map_err(|never| match never {}).boxed()
}

/// Returns whether a body of this size is known to fit into `max_bytes` and may be held in memory.
pub(crate) fn is_replayable(size: &SizeHint, max_bytes: u64) -> bool {
    size.upper().is_some_and(|upper| upper <= max_bytes)
}

/// Body that is not read until a receiver has requested it; `None` once a receiver has taken the
/// body.
pub(crate) type UnsentBody = Arc<Mutex<Option<RelayedBody>>>;

/// Returns a body that streams `unsent` once `ready_to_send` fires. Until then nothing is read from
/// the caller, so that the request can still be sent to another receiver.
pub(crate) fn deferred(unsent: &UnsentBody, ready_to_send: oneshot::Receiver<()>) -> OutgoingBody {
    let size = lock(unsent).as_ref().map(Body::size_hint).unwrap_or_default();
    DeferredBody { state: DeferredState::Waiting(ready_to_send, Arc::clone(unsent)), size }.boxed()
}

struct DeferredBody {
    state: DeferredState,
    size: SizeHint,
}

enum DeferredState {
    Waiting(oneshot::Receiver<()>, UnsentBody),
    Streaming(RelayedBody),
}

impl DeferredBody {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        let DeferredState::Waiting(ready_to_send, unsent) = &mut self.state else {
            return Poll::Ready(Ok(()));
        };
        // A dropped sender means that the final response came without a `100 Continue`.
        let not_requested =
            || BodyError::Source("the receiver did not ask for the body".to_owned());
        ready!(Pin::new(ready_to_send).poll(cx)).map_err(|_| not_requested())?;
        let source = lock(unsent).take().ok_or_else(not_requested)?;
        self.state = DeferredState::Streaming(source);
        Poll::Ready(Ok(()))
    }
}

impl Body for DeferredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Err(e) = ready!(self.poll_ready(cx)) {
            return Poll::Ready(Some(Err(e)));
        }
        match &mut self.state {
            DeferredState::Streaming(source) => Pin::new(source).poll_frame(cx),
            DeferredState::Waiting(..) => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}

fn lock(unsent: &UnsentBody) -> MutexGuard<'_, Option<RelayedBody>> {
    unsent.lock().unwrap_or_else(PoisonError::into_inner)
}
