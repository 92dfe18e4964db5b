//! The context that every decision receives first.

use rand::SeedableRng;
use std::time::Instant;

/// Seeded generator used by all decisions. Its sequence is the same on every platform.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Current time and randomness of one decision.
#[derive(Clone, Debug)]
pub struct Cx {
    /// Monotonic time at which the decision is taken.
    pub now: Instant,
    /// Generator that the decision may draw from.
    pub rng: Rng,
}

impl Cx {
    /// Returns a context at `now` whose generator starts from `seed`.
    pub fn new(now: Instant, seed: u64) -> Cx {
        Cx { now, rng: Rng::seed_from_u64(seed) }
    }
}
