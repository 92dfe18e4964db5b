//! Digests that tell whether two members hold the same records.

use super::record::RecordPrecedence;
use crate::base::mix;

/// Buckets of the repair digest. A difference costs the standings of one bucket, about nine
/// records at 540 members.
pub const DIGEST_BUCKETS: usize = 64;

/// Sums of record hashes by bucket. A sum can be updated one record at a time.
#[derive(Clone, Debug)]
pub(super) struct Digest {
    buckets: Box<[u64; DIGEST_BUCKETS]>,
    total: u64,
}

impl Digest {
    pub(super) fn new() -> Digest {
        Digest { buckets: Box::new([0; DIGEST_BUCKETS]), total: 0 }
    }

    pub(super) fn add(&mut self, name: u64, key: &RecordPrecedence) {
        let hash = record_hash(name, key);
        let bucket = &mut self.buckets[bucket_of(name)];
        *bucket = bucket.wrapping_add(hash);
        self.total = self.total.wrapping_add(hash);
    }

    pub(super) fn remove(&mut self, name: u64, key: &RecordPrecedence) {
        let hash = record_hash(name, key);
        let bucket = &mut self.buckets[bucket_of(name)];
        *bucket = bucket.wrapping_sub(hash);
        self.total = self.total.wrapping_sub(hash);
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }
}

/// Returns the bucket of the instance whose name hashes to `name`.
pub(super) fn bucket_of(name: u64) -> usize {
    (name % DIGEST_BUCKETS as u64) as usize
}

fn record_hash(name: u64, key: &RecordPrecedence) -> u64 {
    let mut hash = mix(name ^ key.incarnation);
    hash = mix(hash ^ key.version);
    mix(hash ^ (u64::from(key.refutation) << 8) ^ key.state as u64)
}
