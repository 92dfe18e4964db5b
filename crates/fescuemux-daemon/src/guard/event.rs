//! What the guard tells the rest of the daemon.

use fescuemux_core::base::{ServerId, ServiceId};

/// Event of the guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GuardEvent {
    /// A server came, went or changed; the instance's record must be published again.
    ServersChanged,
    /// A server asks to be written into the ledger.
    RequestPermit {
        /// Service of the server.
        service: ServiceId,
        /// The server.
        server: ServerId,
    },
    /// A server asks to be removed from the ledger.
    ReleasePermit {
        /// Service of the server.
        service: ServiceId,
        /// The server.
        server: ServerId,
    },
}
