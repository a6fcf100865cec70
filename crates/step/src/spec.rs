//! The specification of a step, as requested by its trainer.

use std::sync::Arc;

use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of samples in one step.
pub const MAX_SAMPLES: u32 = 65_536;

/// Maximum number of tokens in one sample.
pub const MAX_TOKENS: u32 = 131_072;

/// The specification of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// The model that generates the samples.
    pub model: Name,
    /// The prompt of each group.
    pub prompts: Vec<Arc<str>>,
    /// Number of samples in each group.
    #[serde(rename = "samples")]
    pub group_size: u32,
    /// Maximum number of tokens in a sample.
    #[serde(rename = "tokens")]
    pub max_tokens: u32,
    /// Number of weight versions that a sample may be behind the trainer at delivery.
    #[serde(rename = "bound")]
    pub max_staleness: u64,
}

/// The reason why a [`Spec`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SpecError {
    /// There are no groups.
    #[error("a step needs at least one group")]
    NoGroups,
    /// The groups have no samples.
    #[error("a group needs at least one sample")]
    NoSamples,
    /// There are too many samples.
    #[error("a step has at most {MAX_SAMPLES} samples")]
    TooManySamples,
    /// The maximum number of tokens is out of range.
    #[error("a sample has 1 to {MAX_TOKENS} tokens")]
    TokensOutOfRange,
}

impl Spec {
    /// Checks the number of groups, samples and tokens.
    ///
    /// # Errors
    ///
    /// Returns the first [`SpecError`] found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.prompts.is_empty() {
            return Err(SpecError::NoGroups);
        }
        if self.group_size == 0 {
            return Err(SpecError::NoSamples);
        }
        let total = self.prompts.len() as u64 * u64::from(self.group_size);
        if total > u64::from(MAX_SAMPLES) {
            return Err(SpecError::TooManySamples);
        }
        if self.max_tokens == 0 || self.max_tokens > MAX_TOKENS {
            return Err(SpecError::TokensOutOfRange);
        }
        Ok(())
    }

    /// Number of samples in the step.
    pub fn total(&self) -> u32 {
        self.prompts.len() as u32 * self.group_size
    }

    /// The group of a sample; the samples of a group have consecutive indexes.
    pub fn group(&self, index: u32) -> u32 {
        index / self.group_size.max(1)
    }

    /// The prompt of a sample.
    pub fn prompt(&self, index: u32) -> Arc<str> {
        let group = self.group(index) as usize;
        self.prompts.get(group).cloned().unwrap_or_default()
    }
}
