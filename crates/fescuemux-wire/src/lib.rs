//! Wire types of the fleet: headers, authentication, and the remote procedures between daemons.
//!
//! Types convert to and from those of `fescuemux-core`. Must not know HTTP servers, sockets
//! beyond a byte stream, or any decision.

pub mod announce;
pub mod auth;
pub mod headers;
pub mod hop;
pub mod rpc;
//! Types that travel between processes and into the store, with conversions to core types.
//!
//! Must not know HTTP servers, or decisions beyond the core types it converts.

pub mod ledger;
//! Wire types of the fleet, with conversions to and from the types of `fescuemux-core`.
//!
//! The crate must not know HTTP servers, nor decisions beyond the core types.

pub mod member;
//! Wire types of the fleet: messages, headers and stored records, with checks of what arrives.
//!
//! Must not know HTTP servers or decisions beyond core types.

pub mod config;
