//! At-most-once execution: recent request ids at a guard, idempotency keys at their home, and
//! the roster that decides which instance is the home of a key.
//!
//! Must not know how claims travel or how the roster is stored.

mod claim;
mod home_fence;
mod key_age;
mod key_registry;
mod request_table;
mod roster;

#[cfg(test)]
mod tests;

pub use claim::{Claim, ClaimState, KeyOutcome, RegistryEntry};
pub use home_fence::{FenceReason, HomeFence, Permission, Since};
pub use key_age::{KeyAge, MAX_CLOCK_SKEW, key_age};
pub use key_registry::{KeyRegistry, RegistryConfig};
pub use request_table::{RequestTable, Seen};
pub use roster::{MAX_HOMES, REMOVAL_SILENCE, Roster, RosterChange, RosterRefusal, SELF_FENCE};
