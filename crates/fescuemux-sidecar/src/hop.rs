//! Exchange between an ingress and a guard.
//!
//! A request first asks for a slot, then is sent with the grant; see [`Message`]. A connection
//! carries one request at a time, so a slow body holds up no other request, and closing it is
//! the cancellation.

mod codec;
mod connection;
mod message;
mod pool;

pub(crate) use codec::{Frame, HopCodec};
pub(crate) use connection::{HopConnection, HopError};
pub(crate) use message::{Commit, Failure, HopResponseHead, Message, PeerRecord, Reserve, State};
pub(crate) use pool::HopPool;
