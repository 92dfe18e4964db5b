//! At-most-once execution: the recent request attempts of a guard, the idempotency keys claimed at
//! a home, and the roster that determines which instance is the home of a key.
//!
//! This module does not depend on how claims are transported or how the roster is stored.

mod claim;
mod home_fence;
mod key_creation_time;
mod key_registry;
mod request_table;
mod roster;

#[cfg(test)]
mod tests;

pub use claim::{ClaimResponse, ClaimState, KeyOutcome, RegistryEntry};
pub use home_fence::{ClaimRefusal, ClockReading, HomeFence, Permission};
pub use key_creation_time::{KeyCreationTime, MAX_CLOCK_SKEW, key_creation_time};
pub use key_registry::{KeyRegistry, RegistryConfig};
pub use request_table::{Registration, RequestTable};
pub use roster::{
    MAX_HOMES, MIN_REMOVAL_SILENCE, Roster, RosterChange, RosterChangeError, SELF_FENCE_TIMEOUT,
};
