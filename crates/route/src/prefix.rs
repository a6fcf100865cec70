//! Which upstream is likely to hold the cached prefix of a prompt.
//!
//! Cache events come late and with gaps, so an entry is a hint only: a wrong one costs a cache
//! miss at the engine and nothing else.

use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::Hasher;

use kernel::Map;
use kernel::Name;

/// Bytes of a prompt that one block covers.
const BLOCK: usize = 64;

/// Blocks of a prompt that are looked at.
const DEPTH: usize = 16;

/// The hashes of a prompt's leading blocks, each covering all before it.
pub type Blocks = Vec<u64>;

/// Seeds of the block hash; the same on every instance, so that hints can be exchanged.
const SEEDS: [u64; 4] = [0x5eed, 0xb10c, 0xca11, 0x0f0f];

/// Splits a prompt into block hashes.
///
/// # Examples
///
/// ```
/// use route::prefix::blocks;
///
/// let long = "a".repeat(200);
/// assert_eq!(blocks(&long).len(), 3);
/// assert!(blocks("short").is_empty());
/// ```
pub fn blocks(prompt: &str) -> Blocks {
    let [a, b, c, d] = SEEDS;
    let state = ahash::RandomState::with_seeds(a, b, c, d);
    let mut hasher = state.build_hasher();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK)
        .take(DEPTH)
        .map(|chunk| {
            hasher.write(chunk);
            hasher.finish()
        })
        .collect()
}

/// Bounded memory of which upstream was sent which prefix last.
#[derive(Debug)]
pub struct Prefixes {
    holders: Map<u64, Name>,
    order: VecDeque<u64>,
    room: usize,
}

impl Prefixes {
    /// Makes a memory of at most `room` blocks.
    pub fn new(room: usize) -> Self {
        Self {
            holders: Map::default(),
            order: VecDeque::new(),
            room,
        }
    }

    /// Notes that an upstream holds a prompt's blocks.
    pub fn note(&mut self, blocks: &[u64], holder: &Name) {
        for block in blocks {
            if self.holders.insert(*block, holder.clone()).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > self.room {
            let Some(old) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&old);
        }
    }

    /// Forgets all of an upstream: it restarted, or said that it dropped its cache.
    pub fn forget(&mut self, holder: &str) {
        self.holders.retain(|_, name| &**name != holder);
        let holders = &self.holders;
        self.order.retain(|block| holders.contains_key(block));
    }

    /// Finds who holds the longest prefix, and how many blocks of it.
    pub fn longest(&self, blocks: &[u64]) -> Option<(&Name, usize)> {
        let at = blocks
            .iter()
            .rposition(|block| self.holders.contains_key(block))?;
        Some((self.holders.get(&blocks[at])?, at + 1))
    }
}
