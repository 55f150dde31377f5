//! Hash collections with a fast hasher.
//!
//! The hasher is seeded at random per map, because callers choose some of the keys.

/// `HashMap` is the standard map with the `foldhash` hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// `HashSet` is the standard set with the `foldhash` hasher.
pub type HashSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
