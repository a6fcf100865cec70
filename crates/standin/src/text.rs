//! Texts and lengths that a seed decides, so that whoever checks an answer can compute it.

use std::hash::Hash;
use std::hash::Hasher;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// A hash that is the same in every process.
fn hash(parts: impl Hash) -> u64 {
    #[expect(deprecated, reason = "the one hasher of the library with fixed keys")]
    let mut hasher = std::hash::SipHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Spread of lengths between prompts.
const GROUP_SPREAD: f64 = 0.6;

/// Spread of lengths between samples of one prompt.
const SAMPLE_SPREAD: f64 = 0.3;

/// One sample in so many is a straggler.
const STRAGGLER: u64 = 40;

/// How much longer a straggler is than its group's median: this and up to twice this.
const STRAGGLER_FACTOR: f64 = 10.0;

/// The number of tokens of a sample: heavy-tailed, alike within a prompt, with a few stragglers
/// of 10 to 20 times the median.
///
/// # Examples
///
/// ```
/// use standin::text::length;
///
/// assert_eq!(length("a", 1, 100, 1_000), length("a", 1, 100, 1_000));
/// assert!(length("a", 1, 100, 8) <= 8);
/// ```
pub fn length(prompt: &str, seed: u64, median: u32, most: u32) -> u32 {
    let draw = |spread: f64, seed: u64| {
        let mut random = SmallRng::seed_from_u64(seed);
        let normal = LogNormal::new(0.0, spread);
        normal.map_or(1.0, |normal| normal.sample(&mut random))
    };
    let group = draw(GROUP_SPREAD, hash(prompt));
    let own = hash((prompt, seed));
    let sample = draw(SAMPLE_SPREAD, own);
    let straggles = own.is_multiple_of(STRAGGLER);
    let factor = match straggles {
        true => STRAGGLER_FACTOR * (1.0 + (own >> 32) as f64 / f64::from(u32::MAX)),
        false => 1.0,
    };
    let tokens = f64::from(median) * group * sample * factor;
    (tokens as u32).clamp(1, most.max(1))
}

/// The text of one token of a sample.
pub fn token(prompt: &str, seed: u64, at: u32) -> String {
    format!("{:03x} ", hash((prompt, seed, at)) & 0xfff)
}

/// Returns the complete text of a sample of `tokens` tokens.
pub fn sample(prompt: &str, seed: u64, tokens: u32) -> String {
    (0..tokens).map(|at| token(prompt, seed, at)).collect()
}
