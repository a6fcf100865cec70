//! A hash map split into shards, each behind its own lock.

use std::hash::Hash;

use ahash::RandomState;
use parking_lot::Mutex;

use crate::Map;

/// Number of shards, a power of two.
const SHARD_COUNT: usize = 16;

/// A hash map split into shards, so that threads working on different keys rarely contend for a
/// lock.
///
/// # Examples
///
/// ```
/// use kernel::ShardedMap;
///
/// let counts: ShardedMap<u32, u32> = ShardedMap::new();
/// counts.with_shard(&7, |map| *map.entry(7).or_insert(0) += 1);
/// assert_eq!(counts.get(&7), Some(1));
/// ```
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    hasher: RandomState,
    shards: Vec<Mutex<Map<K, V>>>,
}

impl<K: Hash + Eq, V> ShardedMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            shards: (0..SHARD_COUNT)
                .map(|_| Mutex::new(Map::default()))
                .collect(),
        }
    }

    fn shard(&self, key: &K) -> &Mutex<Map<K, V>> {
        let hash = self.hasher.hash_one(key);
        &self.shards[(hash >> 32) as usize % SHARD_COUNT]
    }

    /// Calls `f` with the shard that holds `key`, under that shard's lock.
    pub fn with_shard<R>(&self, key: &K, f: impl FnOnce(&mut Map<K, V>) -> R) -> R {
        f(&mut self.shard(key).lock())
    }

    /// Inserts a value and returns the previous one, if any.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard(&key).lock().insert(key, value)
    }

    /// Removes the value of `key` and returns it, if any.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.shard(key).lock().remove(key)
    }

    /// Returns a clone of the value of `key`, if any.
    pub fn get(&self, key: &K) -> Option<V>
    where
        V: Clone,
    {
        self.shard(key).lock().get(key).cloned()
    }

    /// Calls `f` with each shard in turn, holding one lock at a time.
    pub fn for_each_shard(&self, mut f: impl FnMut(&mut Map<K, V>)) {
        for shard in &self.shards {
            f(&mut shard.lock());
        }
    }

    /// Returns the number of entries in all shards.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether all shards are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<K: Hash + Eq, V> Default for ShardedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
