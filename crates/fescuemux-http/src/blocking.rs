//! Client for calls from threads. Each call uses its own connection.

use crate::{
    Part, RequestHead, RequestMethod, ResponseDecoder, ResponseError, StreamEnd, is_unclean_end,
};
use bytes::BytesMut;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Buffer space for each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Request with its whole body.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Further headers; the framing of the body and the headers of the connection are added.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from the open connection to the complete response.
    pub timeout: Duration,
    /// Maximum number of bytes of the response body.
    pub max_body_len: u64,
}

/// Complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Error of a call.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was opened, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// There is no complete response. The request may have taken effect.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// Sends a request to `addr` and returns the response. `now` is the clock of the timeout.
///
/// # Errors
/// Fails if no complete response arrives within `limits`.
pub fn call(
    addr: SocketAddr,
    request: &Request<'_>,
    limits: &Limits,
    now: impl Fn() -> Instant,
) -> Result<Response, CallError> {
    let stream = TcpStream::connect_timeout(&addr, limits.connect_timeout);
    let mut stream = stream.map_err(CallError::Connect)?;
    let deadline = now() + limits.timeout;
    let time_left = || {
        let time_left = deadline.saturating_duration_since(now());
        if time_left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(time_left)
        }
    };
    stream
        .set_write_timeout(Some(time_left().map_err(ResponseError::Io)?))
        .map_err(ResponseError::Io)?;
    // A server may respond and close without having read the whole request.
    let sent = stream.write_all(&encode(addr, request));
    let end = match &sent {
        Err(e) if is_unclean_end(e) => StreamEnd::Failed,
        Ok(()) | Err(_) => StreamEnd::Clean,
    };
    let read = |buf: &mut [u8]| {
        stream.set_read_timeout(Some(time_left()?))?;
        stream.read(buf)
    };
    let method = RequestMethod::from(request.method);
    let decoder = ResponseDecoder::new(method).with_max_body_len(limits.max_body_len);
    Ok(read_response(decoder, end, read)?)
}

fn encode(addr: SocketAddr, request: &Request<'_>) -> Vec<u8> {
    let mut head = RequestHead::new(request.method, request.path);
    head.header("host", addr.to_string().as_bytes());
    head.header("connection", b"close");
    head.header("content-length", request.body.len().to_string().as_bytes());
    for (name, value) in request.headers {
        head.header(name, value.as_bytes());
    }
    [&head.finish()[..], request.body].concat()
}

/// Reads a response to its end. `end` is how the connection ends if no read fails.
fn read_response(
    mut decoder: ResponseDecoder,
    end: StreamEnd,
    mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
) -> Result<Response, ResponseError> {
    let mut response = Response { status: 0, body: Vec::new() };
    let mut input = BytesMut::new();
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let Some(decoded) = decoder.decode(&input)? else {
            match read(&mut buf)? {
                0 => decoder.on_stream_end(&input, end)?,
                len => input.extend_from_slice(&buf[..len]),
            }
            continue;
        };
        let bytes = input.split_to(decoded.len);
        match decoded.part {
            Part::Skipped => {}
            Part::Head(head) => response.status = head.status,
            Part::Body => response.body.extend_from_slice(&bytes),
            Part::End => return Ok(response),
        }
    }
}
