//! Wire types of the fleet: messages, headers and stored records, with checks of what arrives.
//!
//! Must not know HTTP servers or decisions beyond core types.

pub mod config;
