//! Deterministic content of response bodies of a requested size.

use sha2::{Digest, Sha256};

/// Returns the seed of the body content for a tag. Responses to different tags differ.
pub fn content_seed(tag: &str) -> u64 {
    let digest = Sha256::digest(tag.as_bytes());
    digest.iter().take(8).fold(0, |seed, byte| (seed << 8) | u64::from(*byte))
}

/// Returns the byte at `index` of the body content for `seed`.
pub fn response_byte(seed: u64, index: u64) -> u8 {
    let mixed = (seed ^ (index >> 3)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> (8 * (index & 7))) as u8
}
