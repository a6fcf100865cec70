//! Texts and lengths of samples, computed from the prompt and the seed, so that a client can verify a response.

use std::hash::Hash;
use std::hash::Hasher;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// Hashes with fixed keys, so that the result is the same in every process.
fn hash(parts: impl Hash) -> u64 {
    #[expect(
        deprecated,
        reason = "the only hasher of the standard library with fixed keys"
    )]
    let mut hasher = std::hash::SipHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Standard deviation of the logarithm of the lengths between prompts.
const GROUP_SIGMA: f64 = 0.6;

/// Standard deviation of the logarithm of the lengths between samples of one prompt.
const SAMPLE_SIGMA: f64 = 0.3;

/// One sample in this many is a straggler.
const STRAGGLER_INTERVAL: u64 = 40;

/// Minimum factor by which a straggler is longer than it otherwise would be; the maximum is twice this.
const MIN_STRAGGLER_FACTOR: f64 = 10.0;

/// Returns the number of tokens of a sample, from 1 to `max_tokens`. Lengths are log-normal around `median`, with
/// a smaller spread within a prompt than between prompts, except for a few stragglers, which are 10 to 20 times as
/// long.
///
/// # Examples
///
/// ```
/// use standin::text::length;
///
/// assert_eq!(length("a", 1, 100, 1_000), length("a", 1, 100, 1_000));
/// assert!(length("a", 1, 100, 8) <= 8);
/// ```
pub fn length(prompt: &str, seed: u64, median: u32, max_tokens: u32) -> u32 {
    let draw = |sigma: f64, seed: u64| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let distribution = LogNormal::new(0.0, sigma);
        distribution.map_or(1.0, |distribution| distribution.sample(&mut rng))
    };
    let group = draw(GROUP_SIGMA, hash(prompt));
    let sample_hash = hash((prompt, seed));
    let sample = draw(SAMPLE_SIGMA, sample_hash);
    let is_straggler = sample_hash.is_multiple_of(STRAGGLER_INTERVAL);
    let straggler_factor = match is_straggler {
        true => MIN_STRAGGLER_FACTOR * (1.0 + (sample_hash >> 32) as f64 / f64::from(u32::MAX)),
        false => 1.0,
    };
    let tokens = f64::from(median) * group * sample * straggler_factor;
    (tokens as u32).clamp(1, max_tokens.max(1))
}

/// Returns the text of the token at `index` of a sample.
pub fn token(prompt: &str, seed: u64, index: u32) -> String {
    format!("{:03x} ", hash((prompt, seed, index)) & 0xfff)
}

/// Returns the complete text of a sample of `tokens` tokens.
pub fn sample(prompt: &str, seed: u64, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token(prompt, seed, index))
        .collect()
}
