//! Relay of bodies through a bounded channel with idle limits on both ends.

use super::body::BodyError;
use bytes::{Bytes, BytesMut};
use flume::r#async::RecvStream;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt::Display;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Frames that wait between the two ends of a relay. With the buffers of the HTTP library it
/// bounds the memory of one relayed body to a few hundred KiB.
const FRAMES_IN_FLIGHT: usize = 2;

type FrameResult = Result<Frame<Bytes>, BodyError>;

/// Limits of one relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayLimits {
    /// Longest time without progress at either end.
    pub(crate) idle_timeout: Duration,
    /// Largest number of bytes.
    pub(crate) max_bytes: u64,
}

/// Receiving end of a relay.
pub(crate) struct RelayedBody {
    state: RelayState,
    size: SizeHint,
}

enum RelayState {
    /// Nobody has asked for the body yet, so nothing of the source has been taken.
    Waiting(Option<Box<dyn FnOnce() -> RecvStream<'static, FrameResult> + Send + Sync>>),
    Running(RecvStream<'static, FrameResult>),
}

/// Relays `source` in a task of its own, so that a stalled receiver is noticed and the source is
/// let go. The task starts when the body is first asked for; dropping the body ends it.
pub(crate) fn relay<B>(source: B, limits: RelayLimits) -> RelayedBody
where
    B: Body<Data = Bytes> + Send + Sync + Unpin + 'static,
    B::Error: Display + Send,
{
    let size = source.size_hint();
    let start = move || {
        let (tx, rx) = flume::bounded(FRAMES_IN_FLIGHT);
        tokio::spawn(pump(source, tx, limits));
        rx.into_stream()
    };
    RelayedBody { state: RelayState::Waiting(Some(Box::new(start))), size }
}

/// Reads a whole body into memory. The size hint of the body must have been checked.
///
/// # Errors
///
/// Returns an error when the source fails or makes no progress within the idle time.
pub(crate) async fn read_all<B>(mut source: B, limits: RelayLimits) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut left = limits.max_bytes;
    let mut content = BytesMut::new();
    while let Some(frame) = next_frame(&mut source, limits.idle_timeout).await {
        if let Ok(data) = charge(frame?, &mut left)?.into_data() {
            content.extend_from_slice(&data);
        }
    }
    Ok(content.freeze())
}

async fn pump<B>(mut source: B, tx: flume::Sender<FrameResult>, limits: RelayLimits)
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut left = limits.max_bytes;
    loop {
        let frame = tokio::select! {
            frame = next_frame(&mut source, limits.idle_timeout) => frame,
            () = receiver_gone(&tx) => return,
        };
        let Some(frame) = frame else { return };
        let frame = frame.and_then(|frame| charge(frame, &mut left));
        let failed = frame.is_err();
        let sent = timeout(limits.idle_timeout, tx.send_async(frame)).await;
        if failed || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn next_frame<B>(source: &mut B, idle: Duration) -> Option<FrameResult>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    match timeout(idle, source.frame()).await {
        Ok(Some(Ok(frame))) => Some(Ok(frame)),
        Ok(Some(Err(e))) => Some(Err(BodyError::Source(e.to_string()))),
        Ok(None) => None,
        Err(_) => Some(Err(BodyError::Idle)),
    }
}

/// Resolves when the receiving end has been dropped. The channel offers no event for it, so it
/// is polled; half a second only delays the release of an abandoned connection.
async fn receiver_gone(tx: &flume::Sender<FrameResult>) {
    while !tx.is_disconnected() {
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

fn charge(frame: Frame<Bytes>, left: &mut u64) -> FrameResult {
    let length = frame.data_ref().map_or(0, |data| data.len() as u64);
    *left = left.checked_sub(length).ok_or(BodyError::TooLarge)?;
    Ok(frame)
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if let RelayState::Waiting(start) = &mut self.state
            && let Some(start) = start.take()
        {
            self.state = RelayState::Running(start());
        }
        match &mut self.state {
            RelayState::Running(frames) => Pin::new(frames).poll_next(cx),
            RelayState::Waiting(_) => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
