//! Frames as they go over TCP: length, sequence number, MAC and content.

use fescuemux_core::member::Message;
use fescuemux_wire::member;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of the length prefix.
const LENGTH: usize = 4;
/// Bytes of the sequence number.
const SEQUENCE: usize = 8;
/// Bytes of the MAC.
const MAC: usize = 32;

/// Seals and opens frames with one key.
#[derive(Clone, Debug)]
pub(super) struct Framer {
    keyed: Hmac<Sha256>,
}

impl Framer {
    pub(super) fn new() -> Framer {
        let keyed = Hmac::new_from_slice(&[7; 32]).expect("HMAC takes keys of any length");
        Framer { keyed }
    }

    pub(super) fn seal(&self, sequence: u64, message: Message) -> Vec<u8> {
        let content = member::encode(message).expect("members send bounded messages");
        let mut frame = Vec::with_capacity(LENGTH + SEQUENCE + MAC + content.len());
        frame.extend_from_slice(&((SEQUENCE + MAC + content.len()) as u32).to_be_bytes());
        frame.extend_from_slice(&sequence.to_be_bytes());
        frame.extend_from_slice(&self.mac(sequence, &content));
        frame.extend_from_slice(&content);
        frame
    }

    pub(super) fn open(&self, frame: &[u8]) -> Message {
        let (head, content) = frame.split_at(LENGTH + SEQUENCE + MAC);
        let (sequence, mac) = head[LENGTH..].split_at(SEQUENCE);
        let sequence = u64::from_be_bytes(sequence.try_into().expect("split at eight bytes"));
        assert_eq!(mac, self.mac(sequence, content), "frames are not altered on their way");
        member::decode(content).expect("members send valid messages")
    }

    fn mac(&self, sequence: u64, content: &[u8]) -> [u8; MAC] {
        let mut mac = self.keyed.clone();
        mac.update(&sequence.to_be_bytes());
        mac.update(content);
        mac.finalize().into_bytes().into()
    }
}
