//! Connection to an HTTP/1.1 server.

use crate::h1::{BodyReader, H1Error, ResponseHead};
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of interim (1xx) responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Read half of a connection, with its buffer.
#[derive(Debug)]
pub struct ResponseReader {
    tcp: OwnedReadHalf,
    pub(super) buf: BytesMut,
}

/// Open connection.
#[derive(Debug)]
pub struct Connection {
    /// Read half.
    pub reader: ResponseReader,
    /// Write half.
    pub writer: OwnedWriteHalf,
    /// End of the last exchange, or the time at which the connection was opened.
    pub idle_since: Instant,
    /// Idle timeout stated by the server.
    pub idle_timeout: Option<Duration>,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// Fails if the server does not accept in time. In this case nothing was sent.
    pub async fn open(addr: SocketAddr, now: Instant, timeout: Duration) -> io::Result<Connection> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let (tcp, writer) = stream.into_split();
        let reader = ResponseReader { tcp, buf: BytesMut::new() };
        Ok(Connection { reader, writer, idle_since: now, idle_timeout: None })
    }

    /// Returns whether another request may be sent: the server has neither closed the connection
    /// nor sent bytes after the last response, which would belong to no request.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reader.buf.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.reader.tcp.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends an encoded request with its body, and returns the head and body of the response.
    ///
    /// # Errors
    /// Fails if no complete response arrives or the response body is longer than `max_len` bytes. The
    /// request may have run.
    pub async fn send_request(
        &mut self,
        request: &[u8],
        max_len: usize,
    ) -> Result<(ResponseHead, Bytes), H1Error> {
        self.writer.write_all(request).await?;
        let head = self.reader.next_head().await?;
        let mut body = BodyReader::new(head.framing()?, max_len as u64);
        let mut body_bytes = BytesMut::new();
        while let Some(chunk) = body.next_chunk(&mut self.reader).await? {
            body_bytes.extend_from_slice(&chunk);
        }
        Ok((head, body_bytes.freeze()))
    }
}

impl ResponseReader {
    /// Returns the next response head, skipping interim (1xx) responses.
    ///
    /// # Errors
    /// Fails if the connection ends first, the head is malformed or too long, or too many interim
    /// responses come before it.
    pub async fn next_head(&mut self) -> Result<ResponseHead, H1Error> {
        let mut interim_count = 0;
        loop {
            if let Some((head, len)) = ResponseHead::parse(&self.buf)? {
                let _ = self.buf.split_to(len);
                if head.status >= 200 {
                    return Ok(head);
                }
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(H1Error::Malformed);
                }
                continue;
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(H1Error::Malformed);
            }
            if !self.read_more().await? {
                return Err(if self.buf.is_empty() { H1Error::Closed } else { H1Error::Truncated });
            }
        }
    }

    /// Reads more bytes into the buffer. Returns false at the end of the stream.
    pub(super) async fn read_more(&mut self) -> Result<bool, H1Error> {
        self.buf.reserve(READ_BUFFER_BYTES);
        Ok(self.tcp.read_buf(&mut self.buf).await? > 0)
    }
}
