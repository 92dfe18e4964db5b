//! Byte stream that lets only strict request heads through to the HTTP library.

use super::strict_head::{Framing, HeadError, check_head};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Bytes read at once while a head is collected.
const READ_BYTES: usize = 4_096;

/// Where in the sequence of requests the stream stands.
#[derive(Debug, PartialEq, Eq)]
enum Position {
    /// Collecting a head.
    Head,
    /// Passing the rest of a body of known length.
    Body(u64),
    /// Passing a chunked body, and then nothing more of interest: the end of a chunked body is
    /// known to the library alone, so the server closes the connection after the answer.
    Chunked,
}

/// Wraps a connection and holds back each head until it is complete and checked.
///
/// The checks run before the library sees a byte of the head, so nothing of a refused request
/// reaches a backend server.
#[derive(Debug)]
pub(super) struct StrictIo<S> {
    stream: S,
    position: Position,
    max_head_bytes: usize,
    max_headers: usize,
    /// Bytes of an incomplete head, or checked bytes that the library has not taken yet.
    buf: Vec<u8>,
    /// Number of bytes at the front of `buf` that may be passed on.
    passable: usize,
    /// Whether a head has been passed on, so that an answer may be under way.
    passed_head: bool,
    error: Option<HeadError>,
}

impl<S> StrictIo<S> {
    pub(super) fn new(stream: S, max_head_bytes: usize, max_headers: usize) -> StrictIo<S> {
        StrictIo {
            stream,
            position: Position::Head,
            max_head_bytes,
            max_headers,
            buf: Vec::new(),
            passable: 0,
            passed_head: false,
            error: None,
        }
    }

    /// Moves as much of `buf` as is checked into the passable part.
    fn advance(&mut self) -> Result<(), HeadError> {
        loop {
            let waiting = &self.buf[self.passable..];
            if waiting.is_empty() {
                return Ok(());
            }
            match self.position {
                Position::Chunked => self.passable = self.buf.len(),
                Position::Body(left) => {
                    let taken = left.min(waiting.len() as u64);
                    self.passable += taken as usize;
                    self.position =
                        if taken == left { Position::Head } else { Position::Body(left - taken) };
                }
                Position::Head => {
                    let Some(length) = head_length(waiting) else {
                        return self.check_incomplete();
                    };
                    if length > self.max_head_bytes {
                        return Err(HeadError::TooLarge);
                    }
                    let framing = check_head(&waiting[..length], self.max_headers)?;
                    self.passable += length;
                    self.passed_head = true;
                    self.position = match framing {
                        Framing::Length(0) => Position::Head,
                        Framing::Length(length) => Position::Body(length),
                        Framing::Chunked => Position::Chunked,
                    };
                }
            }
        }
    }

    fn check_incomplete(&self) -> Result<(), HeadError> {
        let waiting = &self.buf[self.passable..];
        if waiting.len() > self.max_head_bytes {
            return Err(HeadError::TooLarge);
        }
        // A head with bare line feeds may never show the end that is looked for.
        let bare = waiting
            .iter()
            .enumerate()
            .any(|(at, byte)| *byte == b'\n' && (at == 0 || waiting[at - 1] != b'\r'));
        if bare { Err(HeadError::LineEnd) } else { Ok(()) }
    }

    fn pass(&mut self, out: &mut ReadBuf<'_>) {
        let count = self.passable.min(out.remaining());
        out.put_slice(&self.buf[..count]);
        self.buf.drain(..count);
        self.passable -= count;
    }
}

/// Returns the length of the head at the front of `bytes`, with its empty line. Empty lines
/// before the request line are refused later as malformed.
fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(END_OF_HEAD.len())
        .position(|window| window == END_OF_HEAD)
        .map(|at| at + END_OF_HEAD.len())
}

impl<S: AsyncRead + AsyncWrite + Unpin> StrictIo<S> {
    /// Fails the connection. The peer is told why when no other answer can be under way, as far
    /// as the socket takes it at once.
    fn refuse(&mut self, cx: &mut Context<'_>, e: HeadError) -> io::Error {
        if !self.passed_head {
            self.passed_head = true;
            let status = match e {
                HeadError::TooLarge => "431 Request Header Fields Too Large",
                _ => "400 Bad Request",
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\
                 fescuemux-verdict: not-run\r\nfescuemux-reason: {e}\r\n\r\n"
            );
            let _ = Pin::new(&mut self.stream).poll_write(cx, answer.as_bytes());
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
            if this.passable > 0 {
                this.pass(out);
                return Poll::Ready(Ok(()));
            }
            if let Some(e) = this.error {
                return Poll::Ready(Err(this.refuse(cx, e)));
            }
            if this.position == Position::Chunked && this.buf.is_empty() {
                return Pin::new(&mut this.stream).poll_read(cx, out);
            }
            let mut chunk = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.buf.extend_from_slice(read.filled());
            // Requests before a refused one are still passed on and answered.
            this.error = this.advance().err();
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
