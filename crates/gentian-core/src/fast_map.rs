//! Hash collections with a fast hasher.

/// Hash map for keys that do not come from callers: its hasher does not resist crafted collisions.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set for keys that do not come from callers: its hasher does not resist crafted collisions.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
