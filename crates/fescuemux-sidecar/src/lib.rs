//! Sidecar process of a backend server.
//!
//! The ingress accepts requests and reserves a slot for each request at the guard of an instance,
//! which may be its own. The guard controls admission to the local backend server and forwards
//! requests to it. Instances exchange load, configuration and membership with each other.
//!
//! The crate adds network I/O and timers to [`fescuemux_core::placement`]. It runs on a single
//! thread, so state is shared through [`std::rc::Rc`] and is never borrowed across an await.
//!
//! Must not know the header names, field names and keys that callers, backend servers and the
//! store use; a [`Dialect`] and a [`MetadataStore`] translate them.

mod allowance_exchange;
mod control;
mod dialect;
mod fair_share_record;
mod fleet_config;
mod guard;
pub mod h1;
mod hop;
mod ingress;
mod load_query;
mod logs;
mod memory;
mod metrics;
mod node;
mod run;
mod serve;
mod settings;
mod store;
mod supervise;
mod sync;

pub use dialect::{ControlCall, DecodeError, Dialect, HeaderNames};
pub use fleet_config::{CallerLimits, FleetConfig};
pub use logs::{LogFlusher, init as init_logs};
pub use run::run;
pub use settings::{ListenAddresses, NodeSettings, SettingsSource};
pub use store::{
    Change, Entry, Lease, LeaseId, MetadataStore, Revision, StoreError, WatchResponse,
};
pub use supervise::supervise;
