//! The configuration in force at this daemon, and how newer generations reach it.
//!
//! Must not know how plans are made or confirmed.

mod pull;
mod state;
mod watch;

pub(crate) use pull::pull_from_peers;
pub(crate) use state::{ConfigContext, ConfigState};
pub(crate) use watch::watch_store;

use fescuemux_core::base::{Generation, InstanceId};

/// Event that may lead to a newer generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConfigEvent {
    /// Another daemon has a newer generation.
    Newer {
        /// The daemon.
        from: InstanceId,
        /// Its generation.
        generation: Generation,
    },
}
