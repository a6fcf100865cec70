//! Rendezvous hashing: all instances agree on the owner of a key without communicating.

use std::hash::Hash;

use ahash::RandomState;

/// Hash seeds; every instance must use the same.
const HASH_SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Returns the rank of the instance `name` for `key`; the result is the same on every instance.
///
/// The instance with the highest rank owns the key. When an instance leaves, only its own keys move
/// to other owners.
///
/// # Examples
///
/// ```
/// use kernel::rendezvous_rank;
///
/// let best = ["a", "b", "c"].into_iter().max_by_key(|name| rendezvous_rank(name, "step-1"));
/// assert_eq!(best, ["c", "b", "a"].into_iter().max_by_key(|name| rendezvous_rank(name, "step-1")));
/// ```
pub fn rendezvous_rank(name: &str, key: impl Hash) -> u64 {
    let [a, b, c, d] = HASH_SEEDS;
    RandomState::with_seeds(a, b, c, d).hash_one((name, key))
}
