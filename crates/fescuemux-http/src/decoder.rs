//! Decoding of whole responses.

use crate::body::{BodyDecoder, BodyPart};
use crate::{Framing, ResponseError, ResponseHead, StreamEnd};

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of interim (1xx) responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Method of a request, as far as it matters for the framing of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestMethod {
    /// The response has no body, whatever its head tells.
    Head,
    /// Any other method.
    Other,
}

impl From<&str> for RequestMethod {
    fn from(method: &str) -> RequestMethod {
        if method == "HEAD" { RequestMethod::Head } else { RequestMethod::Other }
    }
}

/// Part of a response.
#[derive(Debug)]
pub enum Part {
    /// Bytes that are not passed on: an interim response, or framing of the body.
    Skipped,
    /// Head of the response.
    Head(ResponseHead),
    /// The bytes are part of the body.
    Body,
    /// The response is complete.
    End,
}

/// Result of decoding the front of the input.
#[derive(Debug)]
pub struct Decoded {
    /// Number of bytes of the input that the part takes.
    pub len: usize,
    /// What these bytes are.
    pub part: Part,
}

#[derive(Debug)]
enum State {
    /// Number of interim responses so far.
    Head(usize),
    Body(BodyDecoder),
}

/// Incremental decoder of the response to one request.
#[derive(Debug)]
pub struct ResponseDecoder {
    method: RequestMethod,
    max_body_len: u64,
    body_len: Option<u64>,
    state: State,
}

impl ResponseDecoder {
    /// Returns a decoder of the response to a request with this method.
    pub fn new(method: RequestMethod) -> ResponseDecoder {
        ResponseDecoder { method, max_body_len: u64::MAX, body_len: None, state: State::Head(0) }
    }

    /// Limits the body to `max_len` bytes. Must be called before the head is decoded.
    #[must_use]
    pub fn with_max_body_len(self, max_len: u64) -> ResponseDecoder {
        ResponseDecoder { max_body_len: max_len, ..self }
    }

    /// Returns the length of the body in bytes, once the head was decoded and if it tells it.
    pub fn body_len(&self) -> Option<u64> {
        self.body_len
    }

    /// Decodes the part at the front of `input`, from which the calling code then removes
    /// [`Decoded::len`] bytes. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// Fails if the response is malformed or too long. The connection cannot be used any further.
    pub fn decode(&mut self, input: &[u8]) -> Result<Option<Decoded>, ResponseError> {
        match &mut self.state {
            State::Head(interim_count) => {
                let Some((head, len)) = ResponseHead::parse(input)? else {
                    let too_long = input.len() > MAX_HEAD_BYTES;
                    return if too_long { Err(ResponseError::Malformed) } else { Ok(None) };
                };
                if head.is_interim() {
                    *interim_count += 1;
                    if *interim_count > MAX_INTERIM_RESPONSES {
                        return Err(ResponseError::Malformed);
                    }
                    return Ok(Some(Decoded { len, part: Part::Skipped }));
                }
                let framing = match self.method {
                    RequestMethod::Head => Framing::Length(0),
                    RequestMethod::Other => head.framing,
                };
                self.body_len = match framing {
                    Framing::Length(len) => Some(len),
                    Framing::Chunked | Framing::UntilClose => None,
                };
                self.state = State::Body(BodyDecoder::new(framing, self.max_body_len));
                Ok(Some(Decoded { len, part: Part::Head(head) }))
            }
            State::Body(body) => {
                let (len, part) = match body.decode(input)? {
                    BodyPart::Incomplete => return Ok(None),
                    BodyPart::Framing(len) => (len, Part::Skipped),
                    BodyPart::Data(len) => (len, Part::Body),
                    BodyPart::End => (0, Part::End),
                };
                Ok(Some(Decoded { len, part }))
            }
        }
    }

    /// Handles the end of the stream, after which only [`Part::End`] can follow. `rest` is the input
    /// that was not decoded.
    ///
    /// # Errors
    /// Fails if the response is not complete.
    pub fn on_stream_end(&mut self, rest: &[u8], end: StreamEnd) -> Result<(), ResponseError> {
        match &mut self.state {
            State::Head(_) if rest.is_empty() => Err(ResponseError::Closed),
            State::Head(_) => Err(ResponseError::Truncated),
            State::Body(body) => body.on_stream_end(end),
        }
    }
}
