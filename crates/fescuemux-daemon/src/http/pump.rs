//! Streaming of bodies through a bounded channel, with idle timeouts on both ends.

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

/// Maximum number of frames buffered in the channel of a relay. Together with the buffers of the
/// HTTP library, this bounds the memory of one streamed body to a few hundred KiB.
const MAX_BUFFERED_FRAMES: usize = 2;

type FrameResult = Result<Frame<Bytes>, BodyError>;

/// Limits of one relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayLimits {
    /// Maximum time without progress at either end.
    pub(crate) idle_timeout: Duration,
    /// Maximum number of bytes in the body.
    pub(crate) max_bytes: u64,
}

/// Receiving end of a relay.
pub(crate) struct RelayedBody {
    state: RelayState,
    size: SizeHint,
}

enum RelayState {
    /// The body has not been polled, and nothing has been read from the source.
    NotStarted(Option<Box<dyn FnOnce() -> RecvStream<'static, FrameResult> + Send + Sync>>),
    Running(RecvStream<'static, FrameResult>),
}

/// Relays `source` in a separate task, which drops the source when the receiver stalls. The task
/// starts when the returned body is first polled, and ends soon after that body was dropped.
pub(crate) fn relay<B>(source: B, limits: RelayLimits) -> RelayedBody
where
    B: Body<Data = Bytes> + Send + Sync + Unpin + 'static,
    B::Error: Display + Send,
{
    let size = source.size_hint();
    let start = move || {
        let (tx, rx) = flume::bounded(MAX_BUFFERED_FRAMES);
        tokio::spawn(run_relay(source, tx, limits));
        rx.into_stream()
    };
    RelayedBody { state: RelayState::NotStarted(Some(Box::new(start))), size }
}

/// Reads a complete body into memory. The calling code must have checked the size hint of the body.
///
/// # Errors
///
/// Returns an error when the source fails, makes no progress within the idle timeout, or exceeds
/// the byte limit.
pub(crate) async fn read_all<B>(mut source: B, limits: RelayLimits) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut remaining = limits.max_bytes;
    let mut content = BytesMut::new();
    while let Some(frame) = next_frame(&mut source, limits.idle_timeout).await {
        if let Ok(data) = deduct_bytes(frame?, &mut remaining)?.into_data() {
            content.extend_from_slice(&data);
        }
    }
    Ok(content.freeze())
}

async fn run_relay<B>(mut source: B, tx: flume::Sender<FrameResult>, limits: RelayLimits)
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut remaining = limits.max_bytes;
    loop {
        let frame = tokio::select! {
            frame = next_frame(&mut source, limits.idle_timeout) => frame,
            () = receiver_dropped(&tx) => return,
        };
        let Some(frame) = frame else { return };
        let frame = frame.and_then(|frame| deduct_bytes(frame, &mut remaining));
        let failed = frame.is_err();
        let sent = timeout(limits.idle_timeout, tx.send_async(frame)).await;
        if failed || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn next_frame<B>(source: &mut B, idle_timeout: Duration) -> Option<FrameResult>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    match timeout(idle_timeout, source.frame()).await {
        Ok(Some(Ok(frame))) => Some(Ok(frame)),
        Ok(Some(Err(e))) => Some(Err(BodyError::Source(e.to_string()))),
        Ok(None) => None,
        Err(_) => Some(Err(BodyError::Idle)),
    }
}

/// Resolves when the receiving end has been dropped. The channel has no notification of a dropped
/// receiver, so its state is polled; the interval of half a second only delays the release of an
/// abandoned connection.
async fn receiver_dropped(tx: &flume::Sender<FrameResult>) {
    while !tx.is_disconnected() {
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

fn deduct_bytes(frame: Frame<Bytes>, remaining: &mut u64) -> FrameResult {
    let length = frame.data_ref().map_or(0, |data| data.len() as u64);
    *remaining = remaining.checked_sub(length).ok_or(BodyError::TooLarge)?;
    Ok(frame)
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if let RelayState::NotStarted(start) = &mut self.state
            && let Some(start) = start.take()
        {
            self.state = RelayState::Running(start());
        }
        match &mut self.state {
            RelayState::Running(frames) => Pin::new(frames).poll_next(cx),
            RelayState::NotStarted(_) => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
