//! Types that travel between processes and into the store, with conversions to core types.
//!
//! Must not know HTTP servers, or decisions beyond the core types it converts.

pub mod ledger;
