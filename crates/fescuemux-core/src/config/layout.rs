//! Layout of the configuration in the store: one chunk of services, 64 buckets of routes and 64
//! buckets of callers, each bucket in a chunk of its own. The head names all chunks.
//!
//! With 64 buckets, 8,100 routes and 11,000 callers, a change of one item rewrites one chunk of
//! about 20 KB, and the head has about 9 KB.

use super::change::{Difference, ItemName};
use super::{CallerLimit, Config, Digest, Route, Service};
use crate::base::PlanId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Number of route buckets, and of caller buckets.
pub const BUCKET_COUNT: usize = 64;
/// Key of the head.
pub const HEAD_KEY: &str = "cfg/head";
/// Prefix of all chunk keys.
pub const CHUNK_PREFIX: &str = "cfg/chunk/";
/// Prefix of all plan keys.
pub const PLAN_PREFIX: &str = "plan/";

/// A part of the configuration that is stored as one chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Part {
    /// All services.
    Services,
    /// Routes of the bucket with this number, which is below [`BUCKET_COUNT`].
    Routes(u8),
    /// Limits of callers of the bucket with this number, which is below [`BUCKET_COUNT`].
    Callers(u8),
}

impl Part {
    /// Returns every part.
    pub fn all() -> impl Iterator<Item = Part> {
        let buckets = || 0..BUCKET_COUNT as u8;
        std::iter::once(Part::Services)
            .chain(buckets().map(Part::Routes))
            .chain(buckets().map(Part::Callers))
    }

    fn of(item_name: &ItemName) -> Part {
        match item_name {
            ItemName::Service(_) => Part::Services,
            ItemName::Route(id) => Part::Routes(bucket_of(id)),
            ItemName::Caller(id) => Part::Callers(bucket_of(id)),
        }
    }
}

/// Content of one chunk, ordered by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// All services.
    Services(Vec<Service>),
    /// Number of a bucket, and its routes.
    Routes(u8, Vec<Route>),
    /// Number of a bucket, and its limits of callers.
    Callers(u8, Vec<CallerLimit>),
}

impl Chunk {
    /// Returns the part that the chunk holds.
    pub fn part(&self) -> Part {
        match self {
            Chunk::Services(_) => Part::Services,
            Chunk::Routes(bucket, _) => Part::Routes(*bucket),
            Chunk::Callers(bucket, _) => Part::Callers(*bucket),
        }
    }
}

/// Error for chunks that do not form a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// An item is in a bucket other than the one that its name selects.
    #[error("{0} lies in the wrong bucket")]
    WrongBucket(ItemName),
    /// An item appears twice.
    #[error("{0} appears twice")]
    Duplicate(ItemName),
}

/// Returns the bucket of a name, from its 32-bit FNV-1a hash. Stored data depends on the bucket, so
/// the bucket of a name must be the same in every version and on every platform.
pub fn bucket_of(name: &str) -> u8 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash =
        name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME));
    // Combines the high and the low bits, because the low bits of FNV-1a alone are mixed less well.
    ((hash ^ (hash >> 16)) % BUCKET_COUNT as u32) as u8
}

/// Returns the key of the chunk named `name`.
pub fn chunk_key(name: &Digest) -> String {
    let mut key = String::with_capacity(CHUNK_PREFIX.len() + 64);
    key.push_str(CHUNK_PREFIX);
    for byte in name {
        let _ = write!(key, "{byte:02x}");
    }
    key
}

/// Returns the key of the first record of a plan.
pub fn plan_key(plan: PlanId) -> String {
    format!("{PLAN_PREFIX}{plan:032x}")
}

/// Returns the parts that the differences change.
pub fn changed_parts(differences: &[Difference]) -> BTreeSet<Part> {
    differences.iter().map(|difference| Part::of(&difference.item_name())).collect()
}

/// Returns the chunks of all nonempty parts.
pub fn split_into_chunks(config: &Config) -> BTreeMap<Part, Chunk> {
    split_parts_into_chunks(config, &Part::all().collect())
}

/// Returns the chunks of the nonempty parts among `parts`.
pub fn split_parts_into_chunks(config: &Config, parts: &BTreeSet<Part>) -> BTreeMap<Part, Chunk> {
    let mut chunks = BTreeMap::new();
    if parts.contains(&Part::Services) && !config.services.is_empty() {
        let services = config.services.values().cloned().collect();
        chunks.insert(Part::Services, Chunk::Services(services));
    }
    for (bucket, routes) in
        group_by_bucket(&config.routes, |bucket| parts.contains(&Part::Routes(bucket)))
    {
        chunks.insert(Part::Routes(bucket), Chunk::Routes(bucket, routes));
    }
    let is_wanted = |bucket| parts.contains(&Part::Callers(bucket));
    for (bucket, callers) in group_by_bucket(&config.callers, is_wanted) {
        chunks.insert(Part::Callers(bucket), Chunk::Callers(bucket, callers));
    }
    chunks
}

fn group_by_bucket<K: AsRef<str>, T: Clone>(
    items: &BTreeMap<K, T>,
    is_wanted: impl Fn(u8) -> bool,
) -> BTreeMap<u8, Vec<T>> {
    let mut buckets: BTreeMap<u8, Vec<T>> = BTreeMap::new();
    for (id, item) in items {
        let bucket = bucket_of(id.as_ref());
        if is_wanted(bucket) {
            buckets.entry(bucket).or_default().push(item.clone());
        }
    }
    buckets
}

/// Assembles a configuration from its chunks.
///
/// # Errors
/// Fails when an item is in the wrong bucket or appears twice.
pub fn join_chunks<'a>(chunks: impl IntoIterator<Item = &'a Chunk>) -> Result<Config, LayoutError> {
    let mut config = Config::default();
    for chunk in chunks {
        match chunk {
            Chunk::Services(services) => {
                for item in services {
                    let item_name = ItemName::Service(item.id.clone());
                    let previous = config.services.insert(item.id.clone(), item.clone());
                    check_item(chunk, item_name, previous.is_some())?;
                }
            }
            Chunk::Routes(_, routes) => {
                for item in routes {
                    let item_name = ItemName::Route(item.id.clone());
                    let previous = config.routes.insert(item.id.clone(), item.clone());
                    check_item(chunk, item_name, previous.is_some())?;
                }
            }
            Chunk::Callers(_, callers) => {
                for item in callers {
                    let item_name = ItemName::Caller(item.caller.clone());
                    let previous = config.callers.insert(item.caller.clone(), item.clone());
                    check_item(chunk, item_name, previous.is_some())?;
                }
            }
        }
    }
    Ok(config)
}

/// Checks that an item of `chunk` belongs there and is no duplicate.
fn check_item(chunk: &Chunk, item_name: ItemName, is_duplicate: bool) -> Result<(), LayoutError> {
    if is_duplicate {
        return Err(LayoutError::Duplicate(item_name));
    }
    if Part::of(&item_name) != chunk.part() {
        return Err(LayoutError::WrongBucket(item_name));
    }
    Ok(())
}
