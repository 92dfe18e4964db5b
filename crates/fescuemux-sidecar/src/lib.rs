//! The process beside a backend server: ingress, guard and their exchange with other instances.
//!
//! The crate puts sockets and time around [`fescuemux_core::placement`]. One thread does all
//! the work, so state is shared by [`std::rc::Rc`] and never held across an await.
//!
//! Must not know how callers, backend servers and the store spell their headers, fields and
//! keys; a [`Dialect`] and a [`MetadataStore`] translate at the process's edges.

mod control;
mod dialect;
mod fleet_config;
mod guard;
pub mod h1;
mod hop;
mod ingress;
mod load_query;
mod logs;
mod metrics;
mod node;
mod run;
mod serve;
mod settings;
mod store;
mod sync;

pub use dialect::{ControlCall, DecodeError, Dialect, HeaderNames};
pub use fleet_config::{CallerLimits, FleetConfig};
pub use logs::init as init_logs;
pub use run::run;
pub use settings::{ListenAddresses, NodeSettings, SettingsSource};
pub use store::{
    Change, Entry, Lease, LeaseId, Listing, MetadataStore, Revision, StoreError, WatchResponse,
};
