//! Context passed to every decision.

use rand::SeedableRng;
use std::time::Instant;

/// Seeded generator for all decisions. Its sequence is the same on every platform.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Current time and random generator of one decision.
#[derive(Clone, Debug)]
pub struct Cx {
    /// Monotonic time of the decision.
    pub now: Instant,
    /// Random generator of the decision.
    pub rng: Rng,
}

impl Cx {
    /// Returns a context at `now` with a generator seeded with `seed`.
    pub fn new(now: Instant, seed: u64) -> Cx {
        Cx { now, rng: Rng::seed_from_u64(seed) }
    }
}
