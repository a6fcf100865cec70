//! Which of several instances something belongs to, without anybody deciding it.

use std::hash::Hash;

use ahash::RandomState;

/// Seeds of the rank; the same on every instance.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// The rank of an instance for something, the same on every instance: the highest one has it
/// (rendezvous hashing), and when an instance goes, only what it had changes hands.
///
/// # Examples
///
/// ```
/// use kernel::rendezvous_rank;
///
/// let best = ["a", "b", "c"].into_iter().max_by_key(|name| rendezvous_rank(name, "step-1"));
/// assert_eq!(best, ["c", "b", "a"].into_iter().max_by_key(|name| rendezvous_rank(name, "step-1")));
/// ```
pub fn rendezvous_rank(name: &str, what: impl Hash) -> u64 {
    let [a, b, c, d] = SEEDS;
    RandomState::with_seeds(a, b, c, d).hash_one((name, what))
}
