//! A connection to an HTTP/1.1 server.

use crate::h1::{BodyReader, H1Error, ResponseHead};
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Reading half of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    read_half: OwnedReadHalf,
    pub(super) buf: BytesMut,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Reading half.
    pub reader: ResponseReader,
    /// Writing half.
    pub writer: OwnedWriteHalf,
    /// End of the last exchange, or the time of opening.
    pub idle_since: Instant,
    /// Time for which the server keeps the connection while it is idle.
    pub idle_timeout: Option<Duration>,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// Fails when the server does not accept in time. Nothing was sent then.
    pub async fn open(addr: SocketAddr, now: Instant, timeout: Duration) -> io::Result<Connection> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let (read_half, writer) = stream.into_split();
        let reader = ResponseReader { read_half, buf: BytesMut::new() };
        Ok(Connection { reader, writer, idle_since: now, idle_timeout: None })
    }

    /// Returns whether nothing arrived since the last answer. A server that closes, or that
    /// sends bytes which belong to no request, makes the connection useless.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reader.buf.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.reader.read_half.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request with a whole body and returns the head and body of the answer.
    ///
    /// # Errors
    /// Fails without a whole answer; the request may have been carried out.
    pub async fn send_request(
        &mut self,
        request: &[u8],
        max_len: usize,
    ) -> Result<(ResponseHead, Bytes), H1Error> {
        self.writer.write_all(request).await?;
        let head = self.reader.next_head().await?;
        let mut body = BodyReader::new(head.framing()?);
        let mut body_bytes = BytesMut::new();
        while let Some(chunk) = body.next_chunk(&mut self.reader).await? {
            if body_bytes.len() + chunk.len() > max_len {
                return Err(H1Error::TooLarge);
            }
            body_bytes.extend_from_slice(&chunk);
        }
        Ok((head, body_bytes.freeze()))
    }
}

impl ResponseReader {
    /// Returns the next head that is not an interim answer.
    ///
    /// # Errors
    /// Fails when the connection ends first or the bytes are no head.
    pub async fn next_head(&mut self) -> Result<ResponseHead, H1Error> {
        loop {
            if let Some((head, len)) = ResponseHead::parse(&self.buf)? {
                let _ = self.buf.split_to(len);
                if head.status < 200 {
                    continue;
                }
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(H1Error::Malformed);
            }
            if !self.read_more().await? {
                return Err(if self.buf.is_empty() { H1Error::Closed } else { H1Error::Truncated });
            }
        }
    }

    /// Reads more bytes and returns false at the end of the stream.
    pub(super) async fn read_more(&mut self) -> Result<bool, H1Error> {
        self.buf.reserve(READ_BUFFER_BYTES);
        Ok(self.read_half.read_buf(&mut self.buf).await? > 0)
    }
}
