//! Hash collections with a fast hasher.
//!
//! Each map seeds its hasher at random: callers choose some of the keys and must not be able to
//! provoke collisions.

/// `HashMap` is the standard map with the `foldhash` hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// `HashSet` is the standard set with the `foldhash` hasher.
pub type HashSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
