//! Decoding of response bodies.

use crate::head::trim_blanks;
use crate::{Framing, ResponseError};
use std::io;
use std::ops::Range;

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 8 * 1024;

/// Maximum number of trailer lines.
const MAX_TRAILERS: u32 = 64;

/// How the stream of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The other side closed it, and nothing had failed before.
    Clean,
    /// The connection had failed. After a reset, the operating system reports the error to the
    /// first call only, and a mere end of the stream to later reads: if a write gets the error, a
    /// read alone cannot tell a reset from a close.
    Failed,
}

/// Returns whether the first error of a write shows that the stream of the other side was not closed
/// cleanly.
///
/// Linux reports a reset that follows a clean end of the stream as a broken pipe, and any other
/// reset as such. A server that responds without reading the whole request causes the former.
pub fn is_unclean_end(write_error: &io::Error) -> bool {
    !cfg!(target_os = "linux") || write_error.kind() != io::ErrorKind::BrokenPipe
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Number of trailer lines read so far.
    Trailers(u32),
    UntilClose,
    Complete,
}

/// Result of decoding the front of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyPart {
    /// More bytes are needed.
    Incomplete,
    /// So many bytes tell the framing and can be dropped.
    Framing(usize),
    /// The input starts with so many bytes of the body.
    Data(usize),
    /// The body has ended.
    End,
}

/// Incremental decoder of a body.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: State,
    /// Number of bytes that the body may still have.
    max_len_left: u64,
}

impl BodyDecoder {
    /// Returns a decoder of a body with this framing and at most `max_len` bytes.
    pub(crate) fn new(framing: Framing, max_len: u64) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(remaining) => State::Fixed(remaining),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, max_len_left: max_len }
    }

    /// Decodes the front of `input`, which the calling code removes as far as the result tells.
    ///
    /// # Errors
    /// Fails if the body is too long, or its framing is invalid.
    pub(crate) fn decode(&mut self, input: &[u8]) -> Result<BodyPart, ResponseError> {
        match self.state {
            State::Complete => Ok(BodyPart::End),
            _ if input.is_empty() => Ok(BodyPart::Incomplete),
            State::Fixed(remaining) => {
                let (len, remaining) = self.take_data(input, remaining)?;
                self.state = if remaining == 0 { State::Complete } else { State::Fixed(remaining) };
                Ok(BodyPart::Data(len))
            }
            State::ChunkData(remaining) => {
                let (len, remaining) = self.take_data(input, remaining)?;
                self.state =
                    if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                Ok(BodyPart::Data(len))
            }
            State::UntilClose => {
                let (len, _) = self.take_data(input, u64::MAX)?;
                Ok(BodyPart::Data(len))
            }
            State::ChunkSize | State::ChunkEnd | State::Trailers(_) => {
                let Some(line) = find_line(input)? else { return Ok(BodyPart::Incomplete) };
                self.state = next_state(self.state, &input[line.clone()])?;
                Ok(BodyPart::Framing(line.end + 2))
            }
        }
    }

    /// Handles the end of the stream after all input was decoded.
    ///
    /// # Errors
    /// Fails if the body is not complete. Only a body without a length is completed by the end of
    /// its stream, if that is clean.
    pub(crate) fn on_stream_end(&mut self, end: StreamEnd) -> Result<(), ResponseError> {
        match (self.state, end) {
            (State::Complete, _) => Ok(()),
            (State::UntilClose, StreamEnd::Clean) => {
                self.state = State::Complete;
                Ok(())
            }
            _ => Err(ResponseError::Truncated),
        }
    }

    /// Returns how many bytes of `input` belong to data of which `remaining` bytes are due, and how
    /// many are due after them.
    fn take_data(&mut self, input: &[u8], remaining: u64) -> Result<(usize, u64), ResponseError> {
        let len = input.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let left = self.max_len_left.checked_sub(len as u64);
        self.max_len_left = left.ok_or(ResponseError::TooLarge)?;
        Ok((len, remaining - len as u64))
    }
}

/// Returns the state after a line of the chunked coding.
fn next_state(state: State, line: &[u8]) -> Result<State, ResponseError> {
    match state {
        State::ChunkSize => match parse_chunk_size(line)? {
            0 => Ok(State::Trailers(0)),
            size => Ok(State::ChunkData(size)),
        },
        State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
        State::Trailers(_) if line.is_empty() => Ok(State::Complete),
        State::Trailers(count) if count < MAX_TRAILERS && is_field_line(line) => {
            Ok(State::Trailers(count + 1))
        }
        _ => Err(ResponseError::Malformed),
    }
}

/// Returns where the first line of `input` is, without the CR LF that ends it, or `None` if more
/// bytes are needed.
fn find_line(input: &[u8]) -> Result<Option<Range<usize>>, ResponseError> {
    let Some(at) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err(ResponseError::Malformed) } else { Ok(None) };
    };
    if at > MAX_LINE_BYTES || at == 0 || input[at - 1] != b'\r' {
        return Err(ResponseError::Malformed);
    }
    Ok(Some(0..at - 1))
}

/// Parses a chunk size with its extensions, which have no meaning here.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ResponseError> {
    let digit_count = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, rest) = line.split_at(digit_count);
    let extension = trim_blanks(rest);
    let is_extension = extension.is_empty() || extension.starts_with(b";");
    if !is_extension || !rest.iter().all(|byte| is_text(*byte)) {
        return Err(ResponseError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| ResponseError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| ResponseError::Malformed)
}

fn is_field_line(line: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let line = [line, b"\r\n\r\n"].concat();
    matches!(httparse::parse_headers(&line, &mut headers), Ok(status) if status.is_complete())
}

/// Returns whether a byte may occur in a field value: it is a tab or no control byte.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
