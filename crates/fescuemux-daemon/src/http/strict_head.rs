//! Checks of a request head that the HTTP library leaves out.
//!
//! The library accepts bare line feeds and repeated or contradicting length headers. A proxy
//! must refuse them, because two parsers that disagree on the end of a request let one caller
//! speak in the name of another (request smuggling, RFC 9112, section 11.2).

use thiserror::Error;

/// How the body after a head is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// Exactly this many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
}

/// Reason for refusing a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// A line ends in a bare line feed, or a carriage return stands alone.
    #[error("a line does not end in CR LF")]
    LineEnd,
    /// A header line continues on the next line.
    #[error("a header line is folded")]
    Folded,
    /// There is more than one length header, or two kinds of them.
    #[error("the length of the body is ambiguous")]
    Length,
    /// The head is malformed in another way.
    #[error("the head is malformed")]
    Malformed,
    /// The head exceeds the permitted size or number of headers.
    #[error("the head is too large")]
    TooLarge,
}

/// Checks a whole head, from its first byte to the empty line.
pub(super) fn check_head(head: &[u8], max_headers: usize) -> Result<Framing, HeadError> {
    check_line_ends(head)?;
    let mut headers = vec![httparse::EMPTY_HEADER; max_headers];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(head) {
        Ok(status) if status.is_complete() => framing(req.headers),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(_) | Err(_) => Err(HeadError::Malformed),
    }
}

fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    for (at, byte) in head.iter().enumerate() {
        match byte {
            b'\n' if at == 0 || head[at - 1] != b'\r' => return Err(HeadError::LineEnd),
            b'\r' if head.get(at + 1) != Some(&b'\n') => return Err(HeadError::LineEnd),
            b'\n' if matches!(head.get(at + 1), Some(b' ' | b'\t')) => {
                return Err(HeadError::Folded);
            }
            _ => {}
        }
    }
    Ok(())
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HeadError> {
    let mut found = None;
    for header in headers {
        let framing = if header.name.eq_ignore_ascii_case("content-length") {
            Framing::Length(parse_length(header.value)?)
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            check_chunked(header.value)?;
            Framing::Chunked
        } else {
            continue;
        };
        if found.replace(framing).is_some() {
            return Err(HeadError::Length);
        }
    }
    Ok(found.unwrap_or(Framing::Length(0)))
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Length);
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadError::Length)?;
    text.parse().map_err(|_| HeadError::Length)
}

fn check_chunked(value: &[u8]) -> Result<(), HeadError> {
    if value.eq_ignore_ascii_case(b"chunked") { Ok(()) } else { Err(HeadError::Length) }
}
