//! Wire types of the fleet, with conversions to and from the types of `fescuemux-core`.
//!
//! The crate must not know HTTP servers, nor decisions beyond the core types.

pub mod member;
