//! What membership asks its driver to do.

use super::message::Message;
use crate::base::{Generation, InstanceId};
use std::net::SocketAddr;

/// A message to deliver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Receiver; empty when only the address of a seed is known.
    pub to: InstanceId,
    /// Address of the receiver's control port.
    pub addr: SocketAddr,
    /// The message.
    pub message: Message,
}

/// One result of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Deliver a message. Delivery is best effort.
    Send(Send),
    /// The record of an instance changed in state or content.
    RecordChanged(InstanceId),
    /// A member has a newer generation than this one.
    NewerGeneration {
        /// Member that has it.
        from: InstanceId,
        /// The generation.
        generation: Generation,
    },
}
