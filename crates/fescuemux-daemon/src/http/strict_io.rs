//! Byte stream that forwards only valid request heads to the HTTP library.

use super::strict_head::{BodyFraming, HeadError, check_head};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Maximum size in bytes of one read of data that must be checked.
const READ_BUFFER_BYTES: usize = 4_096;

/// Part of a request that the next unchecked byte belongs to.
#[derive(Debug, PartialEq, Eq)]
enum ParseState {
    /// A head, which is buffered until it is complete.
    Head,
    /// A body with this many bytes remaining.
    Body(u64),
    /// A chunked body, up to the end of the connection: only the library detects the end of the
    /// body, so the server closes the connection after the response.
    Chunked,
}

/// Wraps a connection and withholds each head until it is complete and checked.
///
/// The checks run before the library receives any byte of the head, so no part of a rejected
/// request reaches a backend server.
#[derive(Debug)]
pub(super) struct StrictIo<S> {
    stream: S,
    parse_state: ParseState,
    max_head_bytes: usize,
    max_headers: usize,
    /// Checked bytes that the library has not read yet, followed by unchecked bytes.
    buf: Vec<u8>,
    /// Number of checked bytes at the front of `buf`.
    checked_len: usize,
    /// Whether a valid head was received or an error response was sent, so that no error response
    /// may be sent any more.
    response_may_have_started: bool,
    /// Error in the unchecked bytes, returned once the library has read all checked bytes.
    error: Option<HeadError>,
}

impl<S> StrictIo<S> {
    pub(super) fn new(stream: S, max_head_bytes: usize, max_headers: usize) -> StrictIo<S> {
        StrictIo {
            stream,
            parse_state: ParseState::Head,
            max_head_bytes,
            max_headers,
            buf: Vec::new(),
            checked_len: 0,
            response_may_have_started: false,
            error: None,
        }
    }

    /// Checks the unchecked bytes in `buf` as far as they are complete.
    fn check_buffered(&mut self) -> Result<(), HeadError> {
        loop {
            let unchecked = &self.buf[self.checked_len..];
            if unchecked.is_empty() {
                return Ok(());
            }
            match self.parse_state {
                ParseState::Chunked => self.checked_len = self.buf.len(),
                ParseState::Body(remaining) => {
                    let checked = remaining.min(unchecked.len() as u64);
                    self.checked_len += checked as usize;
                    self.parse_state = if checked == remaining {
                        ParseState::Head
                    } else {
                        ParseState::Body(remaining - checked)
                    };
                }
                ParseState::Head => {
                    let Some(length) = head_length(unchecked) else {
                        return self.check_incomplete();
                    };
                    if length > self.max_head_bytes {
                        return Err(HeadError::TooLarge);
                    }
                    let framing = check_head(&unchecked[..length], self.max_headers)?;
                    self.checked_len += length;
                    self.response_may_have_started = true;
                    self.parse_state = match framing {
                        BodyFraming::Length(0) => ParseState::Head,
                        BodyFraming::Length(length) => ParseState::Body(length),
                        BodyFraming::Chunked => ParseState::Chunked,
                    };
                }
            }
        }
    }

    /// Checks the unchecked bytes, which are the start of an incomplete head.
    fn check_incomplete(&self) -> Result<(), HeadError> {
        let unchecked = &self.buf[self.checked_len..];
        if unchecked.len() > self.max_head_bytes {
            return Err(HeadError::TooLarge);
        }
        // A head with bare line feeds may never contain the expected end.
        let has_bare_lf = unchecked
            .iter()
            .enumerate()
            .any(|(at, byte)| *byte == b'\n' && (at == 0 || unchecked[at - 1] != b'\r'));
        if has_bare_lf { Err(HeadError::BadLineEnd) } else { Ok(()) }
    }

    fn forward_checked(&mut self, out: &mut ReadBuf<'_>) {
        let count = self.checked_len.min(out.remaining());
        out.put_slice(&self.buf[..count]);
        self.buf.drain(..count);
        self.checked_len -= count;
    }
}

/// Returns the length of the head at the front of `bytes`, including the empty line at its end.
/// Empty lines before the request line are rejected later as malformed.
fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(END_OF_HEAD.len())
        .position(|window| window == END_OF_HEAD)
        .map(|at| at + END_OF_HEAD.len())
}

impl<S: AsyncRead + AsyncWrite + Unpin> StrictIo<S> {
    /// Returns the error that closes the connection. Sends an error response first if no other
    /// response can be in progress, as far as the socket accepts that error response without
    /// blocking.
    fn reject(&mut self, cx: &mut Context<'_>, e: HeadError) -> io::Error {
        if !self.response_may_have_started {
            self.response_may_have_started = true;
            let status = match e {
                HeadError::TooLarge => "431 Request Header Fields Too Large",
                _ => "400 Bad Request",
            };
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\
                 fescuemux-verdict: not-run\r\nfescuemux-reason: {e}\r\n\r\n"
            );
            let _ = Pin::new(&mut self.stream).poll_write(cx, response.as_bytes());
        }
        io::Error::new(io::ErrorKind::InvalidData, e)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for StrictIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.checked_len > 0 {
                this.forward_checked(out);
                return Poll::Ready(Ok(()));
            }
            if let Some(e) = this.error {
                return Poll::Ready(Err(this.reject(cx, e)));
            }
            if this.parse_state == ParseState::Chunked && this.buf.is_empty() {
                return Pin::new(&mut this.stream).poll_read(cx, out);
            }
            let mut storage = [0; READ_BUFFER_BYTES];
            let mut read_buf = ReadBuf::new(&mut storage);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut read_buf))?;
            if read_buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.buf.extend_from_slice(read_buf.filled());
            // Requests that precede a rejected request are still forwarded and answered.
            this.error = this.check_buffered().err();
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StrictIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
