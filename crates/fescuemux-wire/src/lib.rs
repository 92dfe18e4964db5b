//! Wire types of the fleet: HTTP headers, authentication, remote procedure calls between daemons,
//! and stored records.
//!
//! The types convert to and from those of `fescuemux-core` and validate received data. This crate
//! does not depend on HTTP servers, on sockets other than byte streams, or on decision logic.

pub mod announce;
pub mod auth;
pub mod config;
pub mod headers;
pub mod hop;
pub mod ledger;
pub mod member;
pub mod roster;
pub mod rpc;
