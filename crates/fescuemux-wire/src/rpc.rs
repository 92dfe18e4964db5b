//! Remote procedure calls between daemons, using `tarpc`.
//!
//! This module does not depend on how daemons handle calls or use the responses.

mod claim;
mod service;
mod transport;

pub use claim::{ClaimResponseWire, KeyOutcomeWire, RegistryEntryWire};
pub use service::{
    ConfigQuery, ConfigResponse, Peer, PeerClient, PeerRequest, PeerResponse,
    RosterExchangeResponse,
};
pub use transport::{MAX_FRAME_BYTES, RpcTransport, accept_transport, connect_transport};
