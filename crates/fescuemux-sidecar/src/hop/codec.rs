//! Codec of frames, which consist of a length, a tag, and either body bytes or a message.

use crate::hop::Message;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum frame size; a frame must be able to carry a configuration of the store's maximum value
/// size.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum size of a frame to a guard: a part of a body, or the head of a request.
const MAX_REQUEST_FRAME_BYTES: usize = 128 << 10;

const BODY_TAG: u8 = 0;
const MESSAGE_TAG: u8 = 1;

/// Frame of a hop connection.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    /// Part of a request or response body.
    Body(Bytes),
    /// A message.
    Message(Message),
}

/// Codec of [`Frame`]s.
#[derive(Debug)]
pub(crate) struct HopCodec {
    decoder: LengthDelimitedCodec,
    encoder: LengthDelimitedCodec,
}

impl Default for HopCodec {
    fn default() -> HopCodec {
        HopCodec::with_max_received(MAX_FRAME_BYTES)
    }
}

impl HopCodec {
    /// Returns a codec of connections on which requests with heads of up to `max_head_bytes` arrive.
    pub(crate) fn of_requests(max_head_bytes: usize) -> HopCodec {
        let max_received = MAX_REQUEST_FRAME_BYTES.max(max_head_bytes.saturating_mul(4));
        HopCodec::with_max_received(max_received.min(MAX_FRAME_BYTES))
    }

    fn with_max_received(max_received: usize) -> HopCodec {
        let codec = |max_len| LengthDelimitedCodec::builder().max_frame_length(max_len).new_codec();
        HopCodec { decoder: codec(max_received), encoder: codec(MAX_FRAME_BYTES) }
    }
}

impl Decoder for HopCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(mut frame) = self.decoder.decode(src)? else { return Ok(None) };
        if frame.is_empty() {
            return Err(invalid_frame("empty frame"));
        }
        match frame.get_u8() {
            BODY_TAG => Ok(Some(Frame::Body(frame.freeze()))),
            MESSAGE_TAG => match postcard::take_from_bytes(&frame) {
                Ok((message, [])) => Ok(Some(Frame::Message(message))),
                Ok(_) | Err(_) => Err(invalid_frame("message")),
            },
            _ => Err(invalid_frame("tag")),
        }
    }
}

impl Encoder<Frame> for HopCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> io::Result<()> {
        let mut buf = BytesMut::new();
        match frame {
            Frame::Body(bytes) => {
                buf.reserve(bytes.len() + 1);
                buf.put_u8(BODY_TAG);
                buf.put_slice(&bytes);
            }
            Frame::Message(message) => {
                buf.put_u8(MESSAGE_TAG);
                let encoded =
                    postcard::to_stdvec(&message).map_err(|_| invalid_frame("message"))?;
                buf.put_slice(&encoded);
            }
        }
        self.encoder.encode(buf.freeze(), dst)
    }
}

fn invalid_frame(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("invalid hop frame: {what}"))
}
