//! Heads of responses.

use crate::ResponseError;
use bytes::Bytes;
use std::time::Duration;

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Framing of a body, which determines its end (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Ends after this many bytes.
    Length(u64),
    /// Ends after the last chunk of the chunked coding and its trailers.
    Chunked,
    /// Ends with the connection.
    UntilClose,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// Framing of the body, unless the request was `HEAD`.
    pub framing: Framing,
}

impl ResponseHead {
    /// Parses a head at the start of `buf`. Returns the head and its length in bytes, or `None` if
    /// more bytes are needed.
    ///
    /// # Errors
    /// Fails if the head is malformed, its status is unknown, or its framing is invalid or
    /// ambiguous.
    pub(crate) fn parse(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let parse_status = parsed.parse(buf).map_err(|_| ResponseError::Malformed)?;
        let httparse::Status::Complete(len) = parse_status else { return Ok(None) };
        let status = parsed.code.ok_or(ResponseError::Malformed)?;
        let headers = parsed.headers.iter();
        let headers = headers
            .map(|h| (h.name.to_ascii_lowercase(), Bytes::copy_from_slice(h.value)))
            .collect();
        let mut head = ResponseHead { status, headers, framing: Framing::UntilClose };
        if !head.is_interim() {
            head.framing = head.parse_framing()?;
        }
        Ok(Some((head, len)))
    }

    /// Returns whether this is an interim response (1xx), which another response follows.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
    }

    fn parse_framing(&self) -> Result<Framing, ResponseError> {
        if matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length_count = self.headers.iter().filter(|(name, _)| name == "content-length").count();
        let transfer_encoding = self.header("transfer-encoding");
        match (transfer_encoding, self.header("content-length")) {
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (None, Some(length)) if length_count == 1 => {
                length.parse().map(Framing::Length).map_err(|_| ResponseError::Malformed)
            }
            (None, None) => Ok(Framing::UntilClose),
            _ => Err(ResponseError::Malformed),
        }
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
}
