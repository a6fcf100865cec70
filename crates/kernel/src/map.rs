//! Hash map and hash set aliases.

/// A hash map with a fast hasher that is seeded at random.
///
/// The seed is chosen per process, so clients cannot craft keys that all collide. No decision may
/// depend on the iteration order.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set that uses the same hasher as [`Map`].
pub type Set<K> = std::collections::HashSet<K, ahash::RandomState>;
