//! Boundaries of the messages that a caller sends on a connection.

use super::pipelined_head::HeadEnd;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use tokio::io::ReadBuf;

/// Part of a connection's messages that hyper reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The head of a request, of which hyper has a part or nothing. `begun` is whether it has more than
    /// empty lines.
    Head { end: HeadEnd, begun: bool },
    /// Hyper has a whole head and nothing behind it.
    HeadComplete { started_early: bool },
    /// The body of a request.
    Body { left: u64, is_answered: bool },
    /// Nothing until the request in progress has its response.
    Response,
    /// Unknown; hyper gets all bytes. `tail` is the last bytes that it got.
    Unknown { tail: [u8; 4], in_progress: bool },
}

impl Phase {
    /// Hyper has nothing of the next head.
    const NEXT_HEAD: Phase = Phase::Head { end: HeadEnd::START, begun: false };
}

/// Tracks the boundaries of the messages on a connection. Hyper gets the bytes of a single request
/// at a time, so that all bytes behind it can be inspected, and hyper's buffer is empty while it
/// waits for a response.
#[derive(Debug)]
pub(super) struct MessageTracker {
    phase: Phase,
    /// Bytes that were read and that hyper does not have.
    unread: BytesMut,
    /// Lengths of the heads at the start of `unread` whose requests have started early.
    early_heads: VecDeque<usize>,
    /// Whether the request behind `early_heads` is left to hyper.
    next_in_order: bool,
}

impl MessageTracker {
    /// Returns the state of a new connection.
    pub(super) fn new() -> MessageTracker {
        MessageTracker {
            phase: Phase::NEXT_HEAD,
            unread: BytesMut::new(),
            early_heads: VecDeque::new(),
            next_in_order: false,
        }
    }

    /// Returns whether hyper must get no bytes, because a request is in progress whose bytes it has.
    pub(super) fn is_response_due(&self) -> bool {
        self.phase == Phase::Response
    }

    /// Returns the number of requests that have started early and whose heads hyper does not have.
    pub(super) fn early_heads(&self) -> usize {
        self.early_heads.len()
    }

    /// Returns whether hyper has a part of a head and waits for the rest.
    pub(super) fn is_within_head(&self) -> bool {
        matches!(self.phase, Phase::Head { begun: true, .. })
    }

    /// Returns the buffer of bytes for later, to which bytes that were read can be appended.
    pub(super) fn unread(&mut self) -> &mut BytesMut {
        &mut self.unread
    }

    /// Moves bytes to hyper's buffer. Returns false if there are none.
    pub(super) fn give(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        if self.unread.is_empty() {
            return false;
        }
        let offered = self.unread.len().min(buf.remaining());
        let mut unread = std::mem::take(&mut self.unread);
        let given = self.advance(&unread[..offered]);
        buf.put_slice(&unread[..given]);
        unread.advance(given);
        // The memory of an empty buffer is released.
        if !unread.is_empty() {
            self.unread = unread;
        }
        true
    }

    /// Takes back the bytes behind the current request from hyper's buffer, whose bytes from `start`
    /// were just read.
    pub(super) fn take_back(&mut self, buf: &mut ReadBuf<'_>, start: usize) {
        let filled = buf.filled().len();
        let given = self.advance(&buf.filled()[start..]);
        if start + given < filled {
            self.unread.extend_from_slice(&buf.filled()[start + given..]);
            buf.set_filled(start + given);
        }
    }

    /// Returns the next head that is complete and whose request may start early. The requests ahead
    /// of it have started.
    pub(super) fn next_head(&self) -> Option<&[u8]> {
        if self.next_in_order || self.phase != Phase::Response {
            return None;
        }
        let rest = &self.unread[self.early_heads.iter().sum()..];
        let mut end = HeadEnd::START;
        end.find(rest).map(|len| &rest[..len])
    }

    /// Records that the request of the next head, of `len` bytes, has started early.
    pub(super) fn on_started_early(&mut self, len: usize) {
        self.early_heads.push_back(len);
    }

    /// Records that the request of the next head is left to hyper.
    pub(super) fn on_left_in_order(&mut self) {
        self.next_in_order = true;
    }

    /// Records that hyper has parsed the head of a request with a body of this length, and returns
    /// whether the request has started early. If the head does not end where hyper saw its end, or
    /// the length is unknown, the boundaries of the messages are unknown from here on.
    pub(super) fn on_request(&mut self, body_len: Option<u64>) -> bool {
        self.phase = match (self.phase, body_len) {
            (Phase::HeadComplete { started_early }, Some(0)) => {
                self.phase = Phase::Response;
                return started_early;
            }
            (Phase::HeadComplete { started_early: false }, Some(left)) => {
                Phase::Body { left, is_answered: false }
            }
            _ => return self.on_unknown(),
        };
        false
    }

    /// Records that the boundaries of the messages are unknown, because of the request in progress.
    /// Returns false: it has not started early.
    pub(super) fn on_unknown(&mut self) -> bool {
        self.phase = Phase::Unknown { tail: [0; 4], in_progress: true };
        self.early_heads.clear();
        self.next_in_order = false;
        false
    }

    /// Records that the response to the request in progress is complete.
    pub(super) fn on_response_end(&mut self) {
        match &mut self.phase {
            Phase::Body { is_answered, .. } => *is_answered = true,
            Phase::Unknown { in_progress, .. } => *in_progress = false,
            Phase::Response => self.phase = Phase::NEXT_HEAD,
            Phase::Head { .. } | Phase::HeadComplete { .. } => {}
        }
    }

    /// Records that hyper asks for bytes. Without a request in progress, it asks only if it does not
    /// have a complete head. If the last bytes that it got end a message, it has nothing at all.
    pub(super) fn on_read(&mut self) {
        match self.phase {
            Phase::Unknown { tail, in_progress: false } if &tail == b"\r\n\r\n" => {
                self.phase = Phase::NEXT_HEAD;
            }
            // Hyper skips empty lines before a head.
            Phase::HeadComplete { .. } => self.phase = Phase::NEXT_HEAD,
            _ => {}
        }
    }

    /// Returns how many of the next bytes hyper may have, and records that it gets them.
    fn advance(&mut self, bytes: &[u8]) -> usize {
        match &mut self.phase {
            Phase::Head { end, begun } => {
                let Some(len) = end.find(bytes) else {
                    *begun |= bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
                    if let Some(left) = self.early_heads.front_mut() {
                        *left -= bytes.len();
                    }
                    return bytes.len();
                };
                let started_early = self.early_heads.pop_front().is_some();
                if !started_early {
                    self.next_in_order = false;
                }
                self.phase = Phase::HeadComplete { started_early };
                len
            }
            Phase::Body { left, is_answered } => {
                let len = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= len as u64;
                if *left == 0 {
                    self.phase = match is_answered {
                        true => Phase::NEXT_HEAD,
                        false => Phase::Response,
                    };
                }
                len
            }
            Phase::Unknown { tail, .. } => {
                let last = bytes.len().min(tail.len());
                tail.rotate_left(last);
                let kept = tail.len() - last;
                tail[kept..].copy_from_slice(&bytes[bytes.len() - last..]);
                bytes.len()
            }
            Phase::HeadComplete { .. } | Phase::Response => 0,
        }
    }
}
