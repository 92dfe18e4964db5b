//! Hash collections with a fast hasher.

/// Hash map with a fast, non-cryptographic hasher. The number of keys from outside is limited
/// before insertion, because the hasher does not resist chosen collisions.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`HashMap`].
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
