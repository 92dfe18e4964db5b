//! Remote procedures between daemons, served with `tarpc`.
//!
//! Must not know who calls them or what the answers lead to.

mod claim;
mod service;
mod transport;

pub use claim::{ClaimResponseWire, KeyOutcomeWire, RegistryEntryWire};
pub use service::{
    ConfigQuery, ConfigResponse, Peer, PeerClient, PeerRequest, PeerResponse,
    RosterExchangeResponse,
};
pub use transport::{MAX_FRAME_BYTES, RpcTransport, accept_transport, connect_transport};
