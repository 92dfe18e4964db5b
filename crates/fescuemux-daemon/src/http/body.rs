//! Bodies that the daemon sends.

use super::pump::RelayedBody;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::oneshot;

/// Body of any request or answer that the daemon sends.
pub(crate) type OutBody = BoxBody<Bytes, BodyError>;

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
pub(crate) fn empty() -> OutBody {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Returns a body with `content`.
pub(crate) fn full(content: impl Into<Bytes>) -> OutBody {
    Full::new(content.into()).map_err(|never| match never {}).boxed()
}

/// Returns whether a body of this size may be held in memory up to `replay_bytes`.
pub(crate) fn is_replayable(size: &SizeHint, replay_bytes: u64) -> bool {
    size.upper().is_some_and(|upper| upper <= replay_bytes)
}

/// Returns a body that yields nothing until `open` fires, so that no byte of the source is taken
/// before the receiver has agreed to take the body.
pub(crate) fn gated(source: RelayedBody, open: oneshot::Receiver<()>) -> OutBody {
    GatedBody { open: Some(open), source }.boxed()
}

struct GatedBody {
    open: Option<oneshot::Receiver<()>>,
    source: RelayedBody,
}

impl Body for GatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(open) = &mut self.open {
            match Pin::new(open).poll(cx) {
                Poll::Pending => return Poll::Pending,
                // A dropped sender means that the final answer came without an invitation.
                Poll::Ready(Err(_)) => {
                    return Poll::Ready(Some(Err(BodyError::Source("not invited".to_owned()))));
                }
                Poll::Ready(Ok(())) => self.open = None,
            }
        }
        Pin::new(&mut self.source).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        self.source.size_hint()
    }
}
