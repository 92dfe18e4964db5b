//! Checks of a request head that the HTTP library does not make.
//!
//! The library accepts bare line feeds and repeated or conflicting length headers. A proxy must
//! reject them: if two parsers disagree on where a request ends, one caller can send requests as
//! another caller (request smuggling, RFC 9112, section 11.2).

use thiserror::Error;

/// How the end of the body after a head is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// Body of exactly this many bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Reason for rejecting a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// The head contains a line feed or carriage return that is not part of CR LF.
    #[error("a line does not end in CR LF")]
    BadLineEnd,
    /// A header line continues on the next line.
    #[error("a header line is folded")]
    FoldedHeader,
    /// There is more than one length header, or the length header is invalid.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// The head is malformed for another reason.
    #[error("the head is malformed")]
    Malformed,
    /// The head exceeds the maximum size or number of headers.
    #[error("the head is too large")]
    TooLarge,
}

/// Checks a complete head, including the empty line at its end.
pub(super) fn check_head(head: &[u8], max_headers: usize) -> Result<BodyFraming, HeadError> {
    check_line_ends(head)?;
    let mut headers = vec![httparse::EMPTY_HEADER; max_headers];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(head) {
        Ok(status) if status.is_complete() => parse_framing(req.headers),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(_) | Err(_) => Err(HeadError::Malformed),
    }
}

fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    for (at, byte) in head.iter().enumerate() {
        match byte {
            b'\n' if at == 0 || head[at - 1] != b'\r' => return Err(HeadError::BadLineEnd),
            b'\r' if head.get(at + 1) != Some(&b'\n') => return Err(HeadError::BadLineEnd),
            b'\n' if matches!(head.get(at + 1), Some(b' ' | b'\t')) => {
                return Err(HeadError::FoldedHeader);
            }
            _ => {}
        }
    }
    Ok(())
}

fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<BodyFraming, HeadError> {
    let mut found = None;
    for header in headers {
        let framing = if header.name.eq_ignore_ascii_case("content-length") {
            BodyFraming::Length(parse_length(header.value)?)
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            check_chunked(header.value)?;
            BodyFraming::Chunked
        } else {
            continue;
        };
        if found.replace(framing).is_some() {
            return Err(HeadError::AmbiguousLength);
        }
    }
    Ok(found.unwrap_or(BodyFraming::Length(0)))
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::AmbiguousLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadError::AmbiguousLength)?;
    text.parse().map_err(|_| HeadError::AmbiguousLength)
}

fn check_chunked(value: &[u8]) -> Result<(), HeadError> {
    if value.eq_ignore_ascii_case(b"chunked") { Ok(()) } else { Err(HeadError::AmbiguousLength) }
}
