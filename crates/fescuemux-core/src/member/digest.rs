//! Digests for checking whether two members have the same records.

use super::record::RecordPrecedence;
use crate::base::mix;

/// Number of buckets of the record digest. A sync sends the summaries of all records in a bucket
/// that differs, about nine per bucket at 540 members.
pub const DIGEST_BUCKETS: usize = 64;

/// Sums of record hashes, by bucket and in total. Sums allow incremental updates.
#[derive(Clone, Debug)]
pub(super) struct Digest {
    buckets: Box<[u64; DIGEST_BUCKETS]>,
    total: u64,
}

impl Digest {
    pub(super) fn new() -> Digest {
        Digest { buckets: Box::new([0; DIGEST_BUCKETS]), total: 0 }
    }

    pub(super) fn add(&mut self, name_hash: u64, precedence: &RecordPrecedence) {
        let hash = record_hash(name_hash, precedence);
        let bucket = &mut self.buckets[bucket_of(name_hash)];
        *bucket = bucket.wrapping_add(hash);
        self.total = self.total.wrapping_add(hash);
    }

    pub(super) fn remove(&mut self, name_hash: u64, precedence: &RecordPrecedence) {
        let hash = record_hash(name_hash, precedence);
        let bucket = &mut self.buckets[bucket_of(name_hash)];
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

/// Returns the bucket of the instance whose name has the hash `name_hash`.
pub(super) fn bucket_of(name_hash: u64) -> usize {
    (name_hash % DIGEST_BUCKETS as u64) as usize
}

fn record_hash(name_hash: u64, precedence: &RecordPrecedence) -> u64 {
    let mut hash = mix(name_hash ^ precedence.incarnation);
    hash = mix(hash ^ precedence.version);
    mix(hash ^ (u64::from(precedence.refutation) << 8) ^ precedence.state as u64)
}
