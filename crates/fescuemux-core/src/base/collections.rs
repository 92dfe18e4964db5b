//! Hash collections with a fast hasher.

/// Hash map with a fast, non-cryptographic hasher. Keys from outside are bounded in number
/// before they are inserted, because this hasher does not resist chosen collisions.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`HashMap`].
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
