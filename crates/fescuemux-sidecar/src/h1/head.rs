//! Heads of requests and responses.

use crate::h1::{Framing, H1Error};
use bytes::{BufMut, Bytes, BytesMut};
use std::time::Duration;

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Builder of an encoded request head.
#[derive(Debug)]
pub struct RequestHead {
    buf: BytesMut,
}

impl RequestHead {
    /// Creates a head with its request line.
    pub fn new(method: &str, path_and_query: &str) -> RequestHead {
        let mut buf = BytesMut::with_capacity(512);
        for part in [method, " ", path_and_query, " HTTP/1.1\r\n"] {
            buf.put_slice(part.as_bytes());
        }
        RequestHead { buf }
    }

    /// Adds a header. The name and value must not contain line breaks; names and values from parsed
    /// heads never do.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        self.buf.put_slice(name.as_bytes());
        self.buf.put_slice(b": ");
        self.buf.put_slice(value);
        self.buf.put_slice(b"\r\n");
    }

    /// Completes the head and returns its bytes.
    pub fn finish(mut self) -> BytesMut {
        self.buf.put_slice(b"\r\n");
        self.buf
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, Bytes)>,
}

impl ResponseHead {
    /// Parses a head at the start of `buf`. Returns the head and its length in bytes, or `None` if
    /// more bytes are needed.
    ///
    /// # Errors
    /// Fails if the head is malformed.
    pub(super) fn parse(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, H1Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(buf).map_err(|_| H1Error::Malformed)?;
        let httparse::Status::Complete(len) = status else { return Ok(None) };
        let headers = parsed.headers.iter();
        let headers = headers
            .map(|h| (h.name.to_ascii_lowercase(), Bytes::copy_from_slice(h.value)))
            .collect();
        let status = parsed.code.ok_or(H1Error::Malformed)?;
        Ok(Some((ResponseHead { status, headers }, len)))
    }

    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.and_then(|(_, value)| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns the values of all headers with this name, given in lower case.
    pub fn header_values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.headers.iter().filter(move |(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// Returns whether the server closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns the idle timeout of the connection from the `Keep-Alive` header.
    pub fn idle_timeout(&self) -> Option<Duration> {
        let parts = self.header("keep-alive")?.split(',');
        let seconds = parts.filter_map(|part| part.trim().strip_prefix("timeout=")).next()?;
        seconds.parse().ok().map(Duration::from_secs)
    }

    /// Returns the framing of the body.
    ///
    /// # Errors
    /// Fails if the framing headers are invalid or contradict each other.
    pub fn framing(&self) -> Result<Framing, H1Error> {
        if matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length_count = self.headers.iter().filter(|(name, _)| name == "content-length").count();
        let transfer_encoding = self.header("transfer-encoding");
        match (transfer_encoding, self.header("content-length")) {
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (None, Some(length)) if length_count == 1 => {
                length.parse().map(Framing::Length).map_err(|_| H1Error::Malformed)
            }
            (None, None) => Ok(Framing::UntilClose),
            _ => Err(H1Error::Malformed),
        }
    }
}
