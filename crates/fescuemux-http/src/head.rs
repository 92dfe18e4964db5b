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
    /// Status code: 100, 102 to 199 of an interim response, otherwise 200 to 599.
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
        // Nothing asks for another protocol, so 101 is as invalid as a status outside the classes.
        if status == 101 || !(100..600).contains(&status) {
            return Err(ResponseError::Malformed);
        }
        let framing = parse_framing(status, parsed.version == Some(1), parsed.headers)?;
        let headers = parsed.headers.iter();
        let headers = headers
            .map(|h| (h.name.to_ascii_lowercase(), Bytes::copy_from_slice(h.value)))
            .collect();
        Ok(Some((ResponseHead { status, headers, framing }, len)))
    }

    /// Returns whether this is an interim response (1xx), which another response follows.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
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

/// Returns the framing that a head tells. There is at most one header that tells it.
fn parse_framing(
    status: u16,
    is_http_1_1: bool,
    headers: &[httparse::Header<'_>],
) -> Result<Framing, ResponseError> {
    let mut told = None;
    for header in headers {
        let framing = if header.name.eq_ignore_ascii_case("content-length") {
            parse_length(header.value)
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            // HTTP/1.0 has no codings (RFC 9112, section 6.1).
            parse_coding(header.value).filter(|_| is_http_1_1)
        } else {
            continue;
        };
        if told.replace(framing.ok_or(ResponseError::Malformed)?).is_some() {
            return Err(ResponseError::Malformed);
        }
    }
    match (status, told) {
        // These have no body, so a head that tells one is not understood.
        (100..200 | 204, None | Some(Framing::Length(0))) => Ok(Framing::Length(0)),
        (100..200 | 204, Some(_)) => Err(ResponseError::Malformed),
        // The length is that of the body that a response with status 200 would have.
        (304, _) => Ok(Framing::Length(0)),
        (_, told) => Ok(told.unwrap_or(Framing::UntilClose)),
    }
}

fn parse_length(value: &[u8]) -> Option<Framing> {
    let digits = trim_blanks(value);
    // An integer's parser would also accept a sign.
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(digits).ok().filter(|_| is_number)?;
    digits.parse().ok().map(Framing::Length)
}

fn parse_coding(value: &[u8]) -> Option<Framing> {
    trim_blanks(value).eq_ignore_ascii_case(b"chunked").then_some(Framing::Chunked)
}

/// Removes the blanks that may surround a field value: spaces and tabs (RFC 9110, section 5.6.3).
pub(crate) fn trim_blanks(value: &[u8]) -> &[u8] {
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    let start = value.iter().position(|byte| !is_blank(byte)).unwrap_or(value.len());
    let end = value.iter().rposition(|byte| !is_blank(byte)).map_or(start, |at| at + 1);
    &value[start..end]
}
