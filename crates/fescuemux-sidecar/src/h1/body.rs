//! Decoding of response bodies.

use crate::h1::{H1Error, ResponseReader};
use bytes::{Buf, Bytes};

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 8 * 1024;

/// Maximum number of trailer lines.
const MAX_TRAILERS: u32 = 64;

/// Framing of a body, which determines its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Ends after this many bytes.
    Length(u64),
    /// Ends after the last chunk of the chunked encoding.
    Chunked,
    /// Ends with the connection.
    UntilClose,
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
    Done,
}

/// Incremental reader of a body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    /// Number of bytes that the body may still have.
    len_left: u64,
}

impl BodyReader {
    /// Returns a reader of a body with this framing and at most `max_len` bytes.
    pub fn new(framing: Framing, max_len: u64) -> BodyReader {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(remaining) => State::Fixed(remaining),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, len_left: max_len }
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    /// Fails if the body is truncated or too long, or its framing is invalid.
    pub async fn next_chunk(
        &mut self,
        reader: &mut ResponseReader,
    ) -> Result<Option<Bytes>, H1Error> {
        let chunk = self.read_chunk(reader).await?;
        let len = chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        self.len_left = self.len_left.checked_sub(len).ok_or(H1Error::TooLarge)?;
        Ok(chunk)
    }

    async fn read_chunk(&mut self, reader: &mut ResponseReader) -> Result<Option<Bytes>, H1Error> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Fixed(remaining) => return self.read_fixed(reader, remaining).await,
                State::UntilClose => {
                    if reader.buf.is_empty() && !reader.read_more().await? {
                        self.state = State::Done;
                        return Ok(None);
                    }
                    return Ok(Some(reader.buf.split().freeze()));
                }
                State::ChunkSize => self.read_chunk_size(reader).await?,
                State::ChunkData(remaining) => {
                    return self.read_chunk_data(reader, remaining).await;
                }
                State::ChunkEnd => {
                    if !reader.read_line(MAX_LINE_BYTES).await?.is_empty() {
                        return Err(H1Error::Malformed);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers(count) => {
                    if reader.read_line(MAX_LINE_BYTES).await?.is_empty() {
                        self.state = State::Done;
                    } else if count == MAX_TRAILERS {
                        return Err(H1Error::Malformed);
                    } else {
                        self.state = State::Trailers(count + 1);
                    }
                }
            }
        }
    }

    async fn read_fixed(
        &mut self,
        reader: &mut ResponseReader,
        remaining: u64,
    ) -> Result<Option<Bytes>, H1Error> {
        let chunk = reader.read_up_to(remaining).await?;
        let remaining = remaining - chunk.len() as u64;
        self.state = if remaining == 0 { State::Done } else { State::Fixed(remaining) };
        Ok(Some(chunk))
    }

    async fn read_chunk_size(&mut self, reader: &mut ResponseReader) -> Result<(), H1Error> {
        let line = reader.read_line(MAX_LINE_BYTES).await?;
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = std::str::from_utf8(digits).map_err(|_| H1Error::Malformed)?.trim();
        let size = u64::from_str_radix(digits, 16).map_err(|_| H1Error::Malformed)?;
        self.state = if size == 0 { State::Trailers(0) } else { State::ChunkData(size) };
        Ok(())
    }

    async fn read_chunk_data(
        &mut self,
        reader: &mut ResponseReader,
        remaining: u64,
    ) -> Result<Option<Bytes>, H1Error> {
        let chunk = reader.read_up_to(remaining).await?;
        let remaining = remaining - chunk.len() as u64;
        self.state = if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
        Ok(Some(chunk))
    }
}

impl ResponseReader {
    /// Returns between one and `max_len` bytes.
    async fn read_up_to(&mut self, max_len: u64) -> Result<Bytes, H1Error> {
        if self.buf.is_empty() && !self.read_more().await? {
            return Err(H1Error::Truncated);
        }
        let len = self.buf.len().min(usize::try_from(max_len).unwrap_or(usize::MAX));
        Ok(self.buf.split_to(len).freeze())
    }

    /// Returns a line without its terminator.
    async fn read_line(&mut self, max_len: usize) -> Result<Bytes, H1Error> {
        loop {
            if let Some(at) = self.buf.iter().position(|byte| *byte == b'\n') {
                let mut line = self.buf.split_to(at + 1).freeze();
                line.truncate(at);
                if line.last() == Some(&b'\r') {
                    line.truncate(line.remaining() - 1);
                }
                return Ok(line);
            }
            if self.buf.len() > max_len {
                return Err(H1Error::Malformed);
            }
            if !self.read_more().await? {
                return Err(H1Error::Truncated);
            }
        }
    }
}
