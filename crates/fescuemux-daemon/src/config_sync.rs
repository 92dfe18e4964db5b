//! The active configuration of this daemon, and how it receives newer generations.
//!
//! Must not depend on how plans are made or confirmed.

mod pull;
mod state;
mod watch;

pub(crate) use pull::pull_from_peers;
pub(crate) use state::{ConfigContext, ConfigState};
pub(crate) use watch::watch_store;

use fescuemux_core::base::{Generation, InstanceId};

/// Event that can lead to a newer generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConfigEvent {
    /// Another daemon has a newer generation.
    Newer {
        /// The other daemon.
        from: InstanceId,
        /// The other daemon's generation.
        generation: Generation,
    },
}
