//! Index of the upstreams whose caches probably hold the prefix of a prompt.
//!
//! Cache events arrive late and some are missing, so an entry is only a hint: a wrong one costs a
//! cache miss at the engine and nothing else.

use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::Hasher;

use kernel::Map;
use kernel::Name;

const BLOCK_BYTES: usize = 64;

/// Most leading blocks of a prompt that are hashed.
const MAX_BLOCKS: usize = 16;

/// Hashes of the leading blocks of a prompt. Each also covers all blocks before its own.
pub type Blocks = Vec<u64>;

/// Seeds of the block hash, equal on all instances so that they can exchange hints.
const SEEDS: [u64; 4] = [0x5eed, 0xb10c, 0xca11, 0x0f0f];

/// Computes the block hashes of a prompt.
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
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|chunk| {
            hasher.write(chunk);
            hasher.finish()
        })
        .collect()
}

/// Bounded index from a prefix to the upstream that it was last sent to.
#[derive(Debug)]
pub struct PrefixIndex {
    upstreams: Map<u64, Name>,
    insertion_order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            upstreams: Map::default(),
            insertion_order: VecDeque::new(),
            capacity,
        }
    }

    /// Records that `upstream` holds the blocks of a prompt.
    pub fn record(&mut self, blocks: &[u64], upstream: &Name) {
        for block in blocks {
            if self.upstreams.insert(*block, upstream.clone()).is_none() {
                self.insertion_order.push_back(*block);
            }
        }
        while self.insertion_order.len() > self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.upstreams.remove(&oldest);
        }
    }

    /// Removes all entries of an upstream that restarted or reported that it dropped its cache.
    pub fn remove(&mut self, upstream: &str) {
        self.upstreams.retain(|_, name| &**name != upstream);
        let upstreams = &self.upstreams;
        self.insertion_order
            .retain(|block| upstreams.contains_key(block));
    }

    /// Returns the upstream that holds the longest prefix of `blocks`, and its length in blocks.
    pub fn longest_match(&self, blocks: &[u64]) -> Option<(&Name, usize)> {
        let last = blocks
            .iter()
            .rposition(|block| self.upstreams.contains_key(block))?;
        Some((self.upstreams.get(&blocks[last])?, last + 1))
    }
}
