//! Wire types of the fleet: headers, authentication, remote procedures between daemons, and
//! stored records.
//!
//! Types convert to and from those of `fescuemux-core` and check what arrives. Must not know
//! HTTP servers, sockets beyond a byte stream, or any decision.

pub mod announce;
pub mod auth;
pub mod config;
pub mod headers;
pub mod hop;
pub mod ledger;
pub mod member;
pub mod roster;
pub mod rpc;
