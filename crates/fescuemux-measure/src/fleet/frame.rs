//! Codec for frames as sent over TCP: length, sequence number, MAC and content.

use fescuemux_core::member::Message;
use fescuemux_wire::member;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;
/// Size of the sequence number.
const SEQUENCE_BYTES: usize = 8;
/// Size of the MAC.
const MAC_BYTES: usize = 32;

/// Encodes frames, and verifies and decodes them, with one MAC key.
#[derive(Clone, Debug)]
pub(super) struct FrameCodec {
    keyed_mac: Hmac<Sha256>,
}

impl FrameCodec {
    pub(super) fn new() -> FrameCodec {
        let keyed_mac = Hmac::new_from_slice(&[7; 32]).expect("HMAC takes keys of any length");
        FrameCodec { keyed_mac }
    }

    pub(super) fn encode(&self, sequence: u64, message: Message) -> Vec<u8> {
        let content = member::encode(message).expect("members send bounded messages");
        let mut frame =
            Vec::with_capacity(LENGTH_BYTES + SEQUENCE_BYTES + MAC_BYTES + content.len());
        frame.extend_from_slice(
            &((SEQUENCE_BYTES + MAC_BYTES + content.len()) as u32).to_be_bytes(),
        );
        frame.extend_from_slice(&sequence.to_be_bytes());
        frame.extend_from_slice(&self.mac(sequence, &content));
        frame.extend_from_slice(&content);
        frame
    }

    pub(super) fn decode(&self, frame: &[u8]) -> Message {
        let (prefix, content) = frame.split_at(LENGTH_BYTES + SEQUENCE_BYTES + MAC_BYTES);
        let (sequence, mac) = prefix[LENGTH_BYTES..].split_at(SEQUENCE_BYTES);
        let sequence = u64::from_be_bytes(sequence.try_into().expect("split at eight bytes"));
        assert_eq!(mac, self.mac(sequence, content), "frames are not altered in transit");
        member::decode(content).expect("members send valid messages")
    }

    fn mac(&self, sequence: u64, content: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = self.keyed_mac.clone();
        mac.update(&sequence.to_be_bytes());
        mac.update(content);
        mac.finalize().into_bytes().into()
    }
}
