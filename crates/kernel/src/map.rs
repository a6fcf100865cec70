//! The hash map alias.

/// A hash map with a fast, seeded hasher.
///
/// The hasher is keyed at random per process, so callers cannot choose keys that all land in one
/// bucket. Decisions never depend on its iteration order.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with the hasher of [`Map`].
pub type Set<K> = std::collections::HashSet<K, ahash::RandomState>;
