//! Exchange of a request and its response with a guard.

use super::request_body::{RequestBody, frame_len};
use crate::hop::{Commit, Frame, HopCodec, HopConnection, HopError, Message};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{SplitSink, SplitStream};
use futures::{FutureExt, SinkExt, StreamExt};
use http_body_util::BodyExt;
use std::fmt;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Size of the chunks in which a buffered request body is sent to a guard, to keep frames small.
const BODY_CHUNK_BYTES: usize = 32 * 1024;

type FrameSink = SplitSink<Framed<TcpStream, HopCodec>, Frame>;
type FrameStream = SplitStream<Framed<TcpStream, HopCodec>>;

/// Exchange with a guard that has granted a slot. The request is sent while frames of the response
/// are received, because a server may respond before it has read the request body, and may finish
/// its response only when it has read all of it.
pub(super) struct Exchange {
    upload: Upload,
    frames: FrameStream,
    /// Number of bytes of the response body that are still due, if its length is known.
    body_left: Option<u64>,
}

enum Upload {
    Sending(LocalBoxFuture<'static, Result<FrameSink, HopError>>),
    Sent(FrameSink),
    Failed(Option<HopError>),
}

impl Exchange {
    /// Starts to send the request on `hop`. The request is sent only while frames are received.
    pub(super) fn start(hop: HopConnection, commit: Commit, body: &RequestBody) -> Exchange {
        let (sink, frames) = hop.frames.split();
        let upload = send_request(sink, commit, body).boxed_local();
        Exchange { upload: Upload::Sending(upload), frames, body_left: None }
    }

    /// Returns the next frame.
    ///
    /// # Errors
    /// Fails if the connection ends or a frame is invalid.
    pub(super) async fn next_frame(&mut self) -> Result<Frame, HopError> {
        poll_fn(|cx| self.poll_frame(cx)).await
    }

    /// Sets the length of the response body, if it is known. Must be called between the head and
    /// the body.
    pub(super) fn expect_body(&mut self, len: Option<u64>) {
        self.body_left = len;
    }

    /// Returns the next part of the response body, or `None` once the response is complete.
    ///
    /// # Errors
    /// Fails with [`HopError::BrokenResponse`] if the guard reports a failure or does not send as
    /// many bytes as are due, and with other errors if the connection ends.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, HopError> {
        poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Polls for the next part of the response body, as [`Exchange::next_chunk`] does.
    pub(super) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, HopError>> {
        loop {
            match futures::ready!(self.poll_frame(cx))? {
                Frame::Body(chunk) => {
                    if let Some(left) = &mut self.body_left {
                        let new_left = left.checked_sub(chunk.len() as u64);
                        *left = new_left.ok_or(HopError::BrokenResponse)?;
                    }
                    return Poll::Ready(Ok(Some(chunk)));
                }
                Frame::Message(Message::Evicted) => {}
                Frame::Message(Message::End) if self.body_left.unwrap_or(0) == 0 => {
                    return Poll::Ready(Ok(None));
                }
                Frame::Message(_) => return Poll::Ready(Err(HopError::BrokenResponse)),
            }
        }
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Frame, HopError>> {
        if let Upload::Sending(upload) = &mut self.upload
            && let Poll::Ready(sent) = upload.poll_unpin(cx)
        {
            // A guard that cannot complete the request reports the failure and closes the
            // connection. Sending may fail first, so the report is still received.
            match sent {
                Ok(sink) => self.upload = Upload::Sent(sink),
                // The guard would wait for the rest of the request.
                Err(e @ HopError::RequestAborted(_)) => {
                    self.upload = Upload::Failed(None);
                    return Poll::Ready(Err(e));
                }
                Err(e) => self.upload = Upload::Failed(Some(e)),
            }
        }
        match futures::ready!(self.frames.poll_next_unpin(cx)) {
            Some(frame) => Poll::Ready(frame.map_err(HopError::from)),
            None => {
                let upload_error = match &mut self.upload {
                    Upload::Failed(e) => e.take(),
                    Upload::Sending(_) | Upload::Sent(_) => None,
                };
                Poll::Ready(Err(upload_error.unwrap_or(HopError::Closed)))
            }
        }
    }

    /// Returns the connection for further exchanges if the whole request was sent. The response
    /// must be complete.
    pub(super) fn into_connection(self, now: Instant) -> Option<HopConnection> {
        let Upload::Sent(sink) = self.upload else { return None };
        let frames = sink.reunite(self.frames).ok()?;
        Some(HopConnection { frames, idle_since: now })
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange").finish_non_exhaustive()
    }
}

/// Returns a future that sends a request with its body and returns the sink.
fn send_request(
    mut sink: FrameSink,
    commit: Commit,
    body: &RequestBody,
) -> impl Future<Output = Result<FrameSink, HopError>> + use<> {
    let mut buffered = body.buffered.clone();
    let remaining = body.take_remaining();
    let hold = body.hold.clone();
    let mut left = body.max_remaining;
    async move {
        sink.feed(Frame::Message(Message::Commit(commit))).await?;
        while !buffered.is_empty() {
            let chunk = buffered.split_to(buffered.len().min(BODY_CHUNK_BYTES));
            sink.feed(Frame::Body(chunk)).await?;
        }
        if let Some(mut remaining) = remaining {
            loop {
                let frame = hold.read(remaining.frame(), frame_len).await;
                let frame = frame.map_err(|_| HopError::RequestAborted("memory"))?;
                let Some(frame) = frame else { break };
                let frame = frame.map_err(std::io::Error::other)?;
                let Ok(mut chunk) = frame.into_data() else { continue };
                left = left
                    .checked_sub(chunk.len() as u64)
                    .ok_or(HopError::RequestAborted("body_too_large"))?;
                while !chunk.is_empty() {
                    let part = chunk.split_to(chunk.len().min(BODY_CHUNK_BYTES));
                    sink.send(Frame::Body(part)).await?;
                }
            }
        }
        sink.send(Frame::Message(Message::BodyEnd)).await?;
        Ok(sink)
    }
}
