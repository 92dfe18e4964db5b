//! Connection to an HTTP/1.1 server.

use bytes::{Bytes, BytesMut};
use fescuemux_http::{
    Decoded, Part, RequestMethod, ResponseDecoder, ResponseError, ResponseHead, StreamEnd,
    is_unclean_end,
};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Read half of a connection, with its buffer.
#[derive(Debug)]
pub struct ResponseReader {
    tcp: OwnedReadHalf,
    buf: BytesMut,
    write_failed: Rc<Cell<bool>>,
}

/// Write half of a connection.
#[derive(Debug)]
pub struct RequestWriter {
    tcp: OwnedWriteHalf,
    /// Tells the reader of the connection that a write has failed in a way that leaves no clean end
    /// of the stream.
    write_failed: Rc<Cell<bool>>,
}

/// Open connection.
#[derive(Debug)]
pub struct Connection {
    /// Read half.
    pub reader: ResponseReader,
    /// Write half.
    pub writer: RequestWriter,
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
        let (read_half, write_half) = stream.into_split();
        let write_failed = Rc::<Cell<bool>>::default();
        let reader = ResponseReader {
            tcp: read_half,
            buf: BytesMut::new(),
            write_failed: write_failed.clone(),
        };
        let writer = RequestWriter { tcp: write_half, write_failed };
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

    /// Sends an encoded request with its body, and returns the head and body of the response. The
    /// method of the request must not be `HEAD`.
    ///
    /// # Errors
    /// Fails if no complete response arrives or the response body is longer than `max_len` bytes. The
    /// request may have run.
    pub async fn send_request(
        &mut self,
        request: &[u8],
        max_len: usize,
    ) -> Result<(ResponseHead, Bytes), ResponseError> {
        self.writer.write_all(request).await?;
        let mut decoder =
            ResponseDecoder::new(RequestMethod::Other).with_max_body_len(max_len as u64);
        let head = self.reader.read_head(&mut decoder).await?;
        let mut body = BytesMut::new();
        while let Some(chunk) = self.reader.read_chunk(&mut decoder).await? {
            body.extend_from_slice(&chunk);
        }
        Ok((head, body.freeze()))
    }
}

impl RequestWriter {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// Fails if the connection has ended. The server may have responded before.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.tcp.write_all(bytes).await;
        if written.as_ref().is_err_and(is_unclean_end) {
            self.write_failed.set(true);
        }
        written
    }
}

impl ResponseReader {
    /// Returns the head of the response that `decoder` decodes, skipping interim (1xx) responses.
    ///
    /// # Errors
    /// Fails if the connection ends first, or the head is malformed or too long.
    pub async fn read_head(
        &mut self,
        decoder: &mut ResponseDecoder,
    ) -> Result<ResponseHead, ResponseError> {
        match self.next_part(decoder).await? {
            (Part::Head(head), _) => Ok(head),
            (Part::Skipped | Part::Body | Part::End, _) => Err(ResponseError::Malformed),
        }
    }

    /// Returns the next part of the body after the head, or `None` once the response is complete.
    ///
    /// # Errors
    /// Fails if the body is truncated or too long, or its framing is invalid.
    pub async fn read_chunk(
        &mut self,
        decoder: &mut ResponseDecoder,
    ) -> Result<Option<Bytes>, ResponseError> {
        match self.next_part(decoder).await? {
            (Part::Body, chunk) => Ok(Some(chunk)),
            (Part::End, _) => Ok(None),
            (Part::Skipped | Part::Head(_), _) => Err(ResponseError::Malformed),
        }
    }

    /// Returns the next part that is not skipped, with its bytes.
    async fn next_part(
        &mut self,
        decoder: &mut ResponseDecoder,
    ) -> Result<(Part, Bytes), ResponseError> {
        loop {
            if let Some(Decoded { len, part }) = decoder.decode(&self.buf)? {
                let bytes = self.buf.split_to(len).freeze();
                match part {
                    Part::Skipped => continue,
                    part => return Ok((part, bytes)),
                }
            }
            self.buf.reserve(READ_BUFFER_BYTES);
            if self.tcp.read_buf(&mut self.buf).await? == 0 {
                let failed = self.write_failed.get();
                let end = if failed { StreamEnd::Failed } else { StreamEnd::Clean };
                decoder.on_stream_end(&self.buf, end)?;
            }
        }
    }
}
