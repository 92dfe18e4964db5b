//! Outputs of membership for its driver.

use super::message::Message;
use crate::base::{Generation, InstanceId};
use std::net::SocketAddr;

/// Message to deliver to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver, or empty if only the address of a seed is known.
    pub to: InstanceId,
    /// Address of the receiver for control calls.
    pub addr: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Action or event that the driver must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Deliver this message, best effort.
    Send(OutgoingMessage),
    /// The record of the named instance was added, or changed in state or content.
    RecordChanged(InstanceId),
    /// Another member reported a newer configuration generation than the local one.
    NewerGeneration {
        /// Member that reported the newer generation.
        from: InstanceId,
        /// The newer generation.
        generation: Generation,
    },
}
