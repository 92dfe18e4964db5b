//! Membership of the fleet: who is there, what it serves and which configuration is in force.
//!
//! [`Membership`] is a SWIM protocol with local health awareness. It probes one member a period,
//! asks helpers before it suspects, spreads records by piggyback and repairs what piggyback
//! missed by comparing digests. It must not know sockets, the wire format, the store, or what
//! routing does with a record.

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
pub use output::{Output, Send};
pub use record::{
    Addresses, InstanceRecord, MemberState, RecordPrecedence, RecordSummary, RegionId, ServerRecord,
};
