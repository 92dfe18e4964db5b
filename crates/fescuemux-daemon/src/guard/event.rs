//! Events that the guard sends to other components of the daemon.

use fescuemux_core::base::{ServerId, ServiceId};

/// Event that a guard sends to the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GuardEvent {
    /// A server was added, removed or changed; the membership record of the instance must be
    /// published again.
    ServersChanged,
    /// A server requests an ejection permit, which adds it to the ledger.
    RequestPermit {
        /// Service of the server.
        service: ServiceId,
        /// The server.
        server: ServerId,
    },
    /// A server releases its ejection permit, which removes it from the ledger.
    ReleasePermit {
        /// Service of the server.
        service: ServiceId,
        /// The server.
        server: ServerId,
    },
}
