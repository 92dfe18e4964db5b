//! Authentication between daemons with a shared key.
//!
//! Must not know what the authenticated messages mean.

mod handshake;
mod key_ring;
mod mac_codec;

#[cfg(test)]
mod tests;

pub use handshake::{HandshakeError, Session, accept, connect};
pub use key_ring::{KeyRing, MacTag};
pub use mac_codec::MacCodec;
