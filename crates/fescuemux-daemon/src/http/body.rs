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

/// Body of any request or answer that the daemon sends.
pub(crate) type OutgoingBody = BoxBody<Bytes, BodyError>;

/// Failure of a body that is relayed. It aborts the message, so the receiver sees it as broken.
#[derive(Clone, Debug, Error)]
pub(crate) enum BodyError {
    /// No progress within the idle time.
    #[error("no progress on the body within the idle time")]
    Idle,
    /// More bytes than permitted.
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

/// Returns whether a body of this size may be held in memory up to `replay_bytes`.
pub(crate) fn is_replayable(size: &SizeHint, max_bytes: u64) -> bool {
    size.upper().is_some_and(|upper| upper <= max_bytes)
}

/// Source of a body that is taken only once its receiver has agreed to take it.
pub(crate) type UnsentBody = Arc<Mutex<Option<RelayedBody>>>;

/// Returns a body that takes `held` once `open` fires. Until then no byte is taken from the
/// caller, so the request can still be sent to another receiver.
pub(crate) fn deferred(held: &UnsentBody, open: oneshot::Receiver<()>) -> OutgoingBody {
    let size = lock(held).as_ref().map(Body::size_hint).unwrap_or_default();
    GatedBody { state: GateState::Closed(open, Arc::clone(held)), size }.boxed()
}

struct GatedBody {
    state: GateState,
    size: SizeHint,
}

enum GateState {
    Closed(oneshot::Receiver<()>, UnsentBody),
    Open(RelayedBody),
}

impl GatedBody {
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        let GateState::Closed(open, held) = &mut self.state else {
            return Poll::Ready(Ok(()));
        };
        // A dropped sender means that the final answer came without an invitation.
        let uninvited = || BodyError::Source("the receiver did not ask for the body".to_owned());
        ready!(Pin::new(open).poll(cx)).map_err(|_| uninvited())?;
        let source = lock(held).take().ok_or_else(uninvited)?;
        self.state = GateState::Open(source);
        Poll::Ready(Ok(()))
    }
}

impl Body for GatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Err(e) = ready!(self.poll_open(cx)) {
            return Poll::Ready(Some(Err(e)));
        }
        match &mut self.state {
            GateState::Open(source) => Pin::new(source).poll_frame(cx),
            GateState::Closed(..) => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}

fn lock(held: &UnsentBody) -> MutexGuard<'_, Option<RelayedBody>> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}
