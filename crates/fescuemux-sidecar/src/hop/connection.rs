//! Connection from an instance to another instance or to itself.

use crate::hop::{Frame, HopCodec, Message};
use futures::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Error of an exchange over a hop connection.
#[derive(Debug, Error)]
pub(crate) enum HopError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("closed")]
    Closed,
    /// The peer sent a message that is not valid in this state.
    #[error("unexpected message")]
    UnexpectedMessage,
    /// The peer sent a response that is invalid or not complete.
    #[error("broken response")]
    BrokenResponse,
    /// The exchange has ended before the request was complete, so its rest may still arrive.
    #[error("request not complete")]
    IncompleteRequest,
    /// The ingress has broken off the request body, for the named reason.
    #[error("request broken off: {0}")]
    RequestAborted(&'static str),
    /// The peer did not reply in time.
    #[error("timed out")]
    TimedOut,
}

/// Open connection to an instance; the ingress also uses one to reach its own guard.
#[derive(Debug)]
pub(crate) struct HopConnection {
    /// Frames in both directions.
    pub(crate) frames: Framed<TcpStream, HopCodec>,
    /// End of the last exchange, or the time at which the connection was opened.
    pub(crate) idle_since: Instant,
}

impl HopConnection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// Fails if the peer does not accept in time.
    pub(crate) async fn open(
        addr: SocketAddr,
        now: Instant,
        timeout: Duration,
    ) -> Result<HopConnection, HopError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(addr));
        let stream = connecting.await.map_err(|_| HopError::TimedOut)??;
        HopConnection::from_stream(stream, now)
    }

    /// Returns a connection over a stream that another instance has opened. With `max_head_bytes`, the
    /// frames that it sends are bounded by what a request needs; only replies carry configurations.
    ///
    /// # Errors
    /// Fails if the stream cannot be configured, for example because it is already closed.
    pub(crate) fn accepted(
        stream: TcpStream,
        now: Instant,
        max_head_bytes: Option<usize>,
    ) -> Result<HopConnection, HopError> {
        let codec = max_head_bytes.map_or_else(HopCodec::default, HopCodec::of_requests);
        stream.set_nodelay(true)?;
        Ok(HopConnection { frames: Framed::new(stream, codec), idle_since: now })
    }

    /// Returns a connection over a connected stream.
    ///
    /// # Errors
    /// Fails if the stream cannot be configured, for example because it is already closed.
    pub(crate) fn from_stream(stream: TcpStream, now: Instant) -> Result<HopConnection, HopError> {
        stream.set_nodelay(true)?;
        Ok(HopConnection { frames: Framed::new(stream, HopCodec::default()), idle_since: now })
    }

    /// Sends a message and flushes it.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub(crate) async fn send(&mut self, message: Message) -> Result<(), HopError> {
        Ok(self.frames.send(Frame::Message(message)).await?)
    }

    /// Returns the next frame.
    ///
    /// # Errors
    /// Fails if the connection ends or the frame is invalid.
    pub(crate) async fn next_frame(&mut self) -> Result<Frame, HopError> {
        match self.frames.next().await {
            Some(frame) => Ok(frame?),
            None => Err(HopError::Closed),
        }
    }

    /// Returns the next message.
    ///
    /// # Errors
    /// Fails if the connection ends or a body frame arrives instead.
    pub(crate) async fn next_message(&mut self) -> Result<Message, HopError> {
        match self.next_frame().await? {
            Frame::Message(message) => Ok(message),
            Frame::Body(_) => Err(HopError::UnexpectedMessage),
        }
    }

    /// Discards what arrives until the peer closes the connection, for up to `timeout`. Closing a
    /// connection with unread bytes resets it, and the peer could lose what was sent to it last.
    pub(crate) async fn discard_until_closed(&mut self, timeout: Duration) {
        let discard = async { while self.next_frame().await.is_ok() {} };
        // A peer that does not close the connection in time may lose the last messages.
        let _ = tokio::time::timeout(timeout, discard).await;
    }

    /// Returns whether another exchange may begin: the peer has neither closed the connection nor
    /// sent anything since the last exchange.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.frames.get_ref().try_read(&mut byte);
        self.frames.read_buffer().is_empty()
            && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}
