//! Codec of authenticated frames: a postcard value followed by its tag.

use super::handshake::{Role, Session};
use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use tokio_serde::{Deserializer, Serializer};

const TAG_BYTES: usize = 32;

/// Serializes and authenticates the frames of one connection.
///
/// Each tag covers the direction and sequence number of the frame, so reflected, repeated, dropped
/// or reordered frames fail verification.
#[derive(Debug)]
pub struct MacCodec<Item, SinkItem> {
    session: Session,
    sent_frames: u64,
    received_frames: u64,
    marker: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> MacCodec<Item, SinkItem> {
    /// Returns a codec for a connection after its handshake.
    pub fn new(session: Session) -> MacCodec<Item, SinkItem> {
        MacCodec { session, sent_frames: 0, received_frames: 0, marker: PhantomData }
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for MacCodec<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let this = self.get_mut();
        let mut frame = postcard::to_stdvec(item).map_err(invalid_data)?;
        let tag = this.session.session_key_ring.sign(&[
            frame_label(this.session.role),
            &this.sent_frames.to_be_bytes(),
            &frame,
        ]);
        this.sent_frames += 1;
        frame.extend_from_slice(&tag);
        Ok(frame.into())
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for MacCodec<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Item> {
        let this = self.get_mut();
        let content_length =
            src.len().checked_sub(TAG_BYTES).ok_or_else(|| invalid_data("short frame"))?;
        let (content, tag) = src.split_at(content_length);
        let peer_role = match this.session.role {
            Role::Client => Role::Server,
            Role::Server => Role::Client,
        };
        let sequence = this.received_frames.to_be_bytes();
        if !this.session.session_key_ring.verify(&[frame_label(peer_role), &sequence, content], tag)
        {
            return Err(invalid_data("frame with a wrong tag"));
        }
        this.received_frames += 1;
        postcard::from_bytes(content).map_err(invalid_data)
    }
}

fn frame_label(sender: Role) -> &'static [u8] {
    match sender {
        Role::Client => b"client frame",
        Role::Server => b"server frame",
    }
}

fn invalid_data(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
