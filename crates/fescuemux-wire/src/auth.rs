//! Authentication between daemons with shared keys.
//!
//! This module does not depend on the content of the authenticated messages.

mod handshake;
mod key_ring;
mod mac_codec;

#[cfg(test)]
mod tests;

pub use handshake::{HandshakeError, Session, accept, connect};
pub use key_ring::{KeyRing, MacTag};
pub use mac_codec::MacCodec;
