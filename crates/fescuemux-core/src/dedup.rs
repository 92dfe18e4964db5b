//! At-most-once execution: recent request ids at a guard, idempotency keys at their home, and
//! the roster that decides which instance is the home of a key.
//!
//! Must not know how claims travel or how the roster is stored.

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
