//! Byte stream that forwards only valid responses to an HTTP library.

use crate::{Part, RequestMethod, ResponseDecoder, ResponseError, StreamEnd, is_unclean_end};
use bytes::{Buf, BytesMut};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::io::poll_read_buf;

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Decoder of the response that is due; `None` before the first request.
type SharedDecoder = Arc<Mutex<Option<ResponseDecoder>>>;

/// Tells a [`CheckedStream`] which response comes next.
#[derive(Clone, Debug)]
pub struct ExchangeHandle {
    decoder: SharedDecoder,
}

impl ExchangeHandle {
    /// Must be called before each request is sent, when the response to the previous one is
    /// complete.
    pub fn begin(&self, method: RequestMethod) {
        let decoder = Some(ResponseDecoder::new(method));
        *self.decoder.lock().unwrap_or_else(PoisonError::into_inner) = decoder;
    }
}

/// Wraps the connection of a client, and withholds the bytes of responses until they are checked.
/// Libraries repair or skip what they do not understand, so a malformed response must end the
/// connection before they see it.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    decoder: SharedDecoder,
    /// Bytes that are checked and not yet forwarded.
    checked: BytesMut,
    unchecked: BytesMut,
    /// Error after the checked bytes.
    error: Option<ResponseError>,
    /// Whether a write has failed in a way that leaves no clean end of the stream.
    write_failed: bool,
}

impl<S> CheckedStream<S> {
    /// Wraps `stream`, on which no response is due until [`ExchangeHandle::begin`].
    pub fn new(stream: S) -> (CheckedStream<S>, ExchangeHandle) {
        let decoder = SharedDecoder::default();
        let handle = ExchangeHandle { decoder: decoder.clone() };
        let stream = CheckedStream {
            stream,
            decoder,
            checked: BytesMut::new(),
            unchecked: BytesMut::new(),
            error: None,
            write_failed: false,
        };
        (stream, handle)
    }

    /// Checks the unchecked bytes as far as they are complete.
    fn check(&mut self) -> Result<(), ResponseError> {
        let mut decoder = self.decoder.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.unchecked.is_empty() {
            let decoded = match decoder.as_mut() {
                Some(decoder) => decoder.decode(&self.unchecked)?,
                None => None,
            };
            let len = match decoded {
                // The library rejects bytes that belong to no response.
                None if decoder.is_none() => self.unchecked.len(),
                Some(decoded) if matches!(decoded.part, Part::End) => self.unchecked.len(),
                None => return Ok(()),
                Some(decoded) => decoded.len,
            };
            let checked = self.unchecked.split_to(len);
            self.checked.unsplit(checked);
        }
        Ok(())
    }

    /// Checks the end of the stream. A connection that was closed before a response began is left
    /// to the library, which knows whether a request was sent.
    fn check_end(&self) -> Result<(), ResponseError> {
        let end = if self.write_failed { StreamEnd::Failed } else { StreamEnd::Clean };
        let mut decoder = self.decoder.lock().unwrap_or_else(PoisonError::into_inner);
        match decoder.as_mut().map(|decoder| decoder.on_stream_end(&self.unchecked, end)) {
            None | Some(Ok(()) | Err(ResponseError::Closed)) => Ok(()),
            Some(Err(e)) => Err(e),
        }
    }

    /// Handles the result of writing up to `len` bytes. A server that has closed its stream does not
    /// read the rest of the request, which is then discarded: the library would take the failed
    /// write for the end of the response, of which some may not have been read yet.
    fn on_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        len: usize,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Err(e)) if is_unclean_end(e) => self.write_failed = true,
            Poll::Ready(Err(_)) if !self.write_failed => return Poll::Ready(Ok(len)),
            Poll::Ready(_) | Poll::Pending => {}
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if !this.checked.is_empty() {
                let len = this.checked.len().min(out.remaining());
                out.put_slice(&this.checked[..len]);
                this.checked.advance(len);
                return Poll::Ready(Ok(()));
            }
            if let Some(e) = &this.error {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, e.to_string())));
            }
            this.unchecked.reserve(READ_BUFFER_BYTES);
            let len = ready!(poll_read_buf(Pin::new(&mut this.stream), cx, &mut this.unchecked))?;
            if len > 0 {
                this.error = this.check().err();
                continue;
            }
            this.error = this.check_end().err();
            if this.error.is_none() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(written, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.on_write(written, bufs.iter().map(|buf| buf.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
