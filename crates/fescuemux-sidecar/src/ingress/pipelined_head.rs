//! Heads of pipelined requests, parsed before hyper gets them.

use fescuemux_core::pipelining::PipelinedRequest;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};

/// Maximum number of header fields of a head, as in hyper.
const MAX_FIELDS: usize = 100;

/// Searches the end of a head in the pieces in which the head arrives. As in hyper, a head ends with
/// an empty line, and a line ends with a line feed, usually after a carriage return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadEnd {
    WithinLine,
    LineStart,
    CarriageReturn,
}

impl HeadEnd {
    /// No byte of the head has arrived.
    pub(super) const START: HeadEnd = HeadEnd::WithinLine;

    /// Returns the number of bytes of `piece` that belong to the head if the head ends in `piece`.
    pub(super) fn find(&mut self, piece: &[u8]) -> Option<usize> {
        for (at, byte) in piece.iter().enumerate() {
            *self = match (byte, *self) {
                (b'\n', HeadEnd::LineStart | HeadEnd::CarriageReturn) => return Some(at + 1),
                (b'\n', HeadEnd::WithinLine) => HeadEnd::LineStart,
                (b'\r', HeadEnd::LineStart) => HeadEnd::CarriageReturn,
                _ => HeadEnd::WithinLine,
            };
        }
        None
    }
}

/// Returns the head of a request without a body that ends where `head` ends. Whatever hyper might
/// take for something else is not a head here, and is left to hyper.
pub(super) fn parse_head(head: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(head).ok()?;
    if status != httparse::Status::Complete(head.len()) || parsed.version != Some(1) {
        return None;
    }
    let mut parts = Request::new(()).into_parts().0;
    parts.version = Version::HTTP_11;
    parts.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    parts.uri = Uri::try_from(parsed.path?).ok()?;
    parts.headers.reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        parts.headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(parts)
}

/// Returns the properties that decide when a request may start, except its class.
pub(super) fn pipelined_request(parts: &Parts, is_idempotent: bool) -> PipelinedRequest {
    let headers = &parts.headers;
    let lengths = headers.get_all(CONTENT_LENGTH);
    PipelinedRequest {
        is_idempotent,
        has_body: headers.contains_key(TRANSFER_ENCODING)
            || lengths.iter().any(|len| len.as_bytes() != b"0"),
        needs_negotiation: parts.method == Method::CONNECT
            || [EXPECT, UPGRADE].iter().any(|name| headers.contains_key(name)),
        closes_connection: closes_connection(parts.version, headers),
    }
}

/// Returns whether the connection ends with the response to a request. A `Connection` header with
/// other options than `keep-alive` counts too, because few callers send one.
pub(super) fn closes_connection(version: Version, headers: &HeaderMap) -> bool {
    let mut options = headers.get_all(CONNECTION).iter();
    version != Version::HTTP_11
        || options.any(|option| !option.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}

/// Returns whether two heads are the same request.
pub(super) fn is_same_head(a: &Parts, b: &Parts) -> bool {
    a.method == b.method && a.uri == b.uri && a.version == b.version && a.headers == b.headers
}
