//! State split over shards, each under its own lock.

use std::hash::Hash;

use ahash::RandomState;
use parking_lot::Mutex;

use crate::Map;

/// ShardedMap in a new [`ShardedMap`]; a power of two.
const COUNT: usize = 16;

/// A map split over shards, so that threads that work on different keys rarely wait for one
/// another.
///
/// # Examples
///
/// ```
/// use kernel::ShardedMap;
///
/// let seen: ShardedMap<u32, u32> = ShardedMap::new();
/// seen.with_shard(&7, |map| *map.entry(7).or_insert(0) += 1);
/// assert_eq!(seen.get(&7), Some(1));
/// ```
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    hasher: RandomState,
    parts: Vec<Mutex<Map<K, V>>>,
}

impl<K: Hash + Eq, V> ShardedMap<K, V> {
    /// Makes empty shards.
    pub fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            parts: (0..COUNT).map(|_| Mutex::new(Map::default())).collect(),
        }
    }

    fn part(&self, key: &K) -> &Mutex<Map<K, V>> {
        let hash = self.hasher.hash_one(key);
        &self.parts[(hash >> 32) as usize % COUNT]
    }

    /// Runs `f` on the shard of `key` under that shard's lock.
    pub fn with_shard<R>(&self, key: &K, f: impl FnOnce(&mut Map<K, V>) -> R) -> R {
        f(&mut self.part(key).lock())
    }

    /// Inserts a value and returns the one it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.part(&key).lock().insert(key, value)
    }

    /// Removes the value of `key`.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.part(key).lock().remove(key)
    }

    /// Returns a copy of the value of `key`.
    pub fn get(&self, key: &K) -> Option<V>
    where
        V: Clone,
    {
        self.part(key).lock().get(key).cloned()
    }

    /// Runs `f` on every shard in turn, one lock at a time.
    pub fn for_each_shard(&self, mut f: impl FnMut(&mut Map<K, V>)) {
        for part in &self.parts {
            f(&mut part.lock());
        }
    }

    /// Counts the entries of all shards.
    pub fn len(&self) -> usize {
        self.parts.iter().map(|part| part.lock().len()).sum()
    }

    /// Tells whether no shard holds an entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<K: Hash + Eq, V> Default for ShardedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
