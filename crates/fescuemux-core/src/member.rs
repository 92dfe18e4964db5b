//! Membership of the fleet: the live instances, their backend servers and the configuration
//! generation in force at each instance.
//!
//! [`Membership`] implements SWIM with local health awareness. It probes one member per period,
//! asks helpers for indirect probes before it suspects a member, piggybacks record updates on
//! messages, and obtains missed updates by syncs: two members compare digests of their records and
//! exchange the records that differ. This module does not depend on sockets, the wire format, the
//! store, or how routing uses the records.

mod apply;
mod config;
mod digest;
mod gossip;
mod health;
mod membership;
mod message;
mod output;
mod probe;
mod probing;
mod record;
mod spread;
mod sync;
mod table;

pub use crate::base::ServerHealth;
pub use config::MemberConfig;
pub use digest::DIGEST_BUCKETS;
pub use membership::{Counters, Membership};
pub use message::{Body, ConfigVersion, Message, Update};
pub use output::{OutgoingMessage, Output};
pub use record::{
    Addresses, InstanceRecord, MemberState, RecordPrecedence, RecordSummary, RegionId, ServerRecord,
};
