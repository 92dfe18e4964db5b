//! Protocol between instances over TCP: between an ingress and a guard, and for pulls of
//! configuration and membership. A hop is the leg of a request from an ingress to a guard.
//!
//! The ingress first reserves a slot and sends the request once the slot is granted; see
//! [`Message`]. A connection carries one request at a time, so a slow body does not block other
//! requests, and closing the connection cancels the request.

mod codec;
mod connection;
mod message;
mod pool;

pub(crate) use codec::{Frame, HopCodec};
pub(crate) use connection::{HopConnection, HopError};
pub(crate) use message::{
    Commit, DepartureRecord, Failure, HopResponseHead, Message, OwnerDepartures, PeerRecord, Pull,
    Reserve, State,
};
pub(crate) use pool::HopPool;
