//! Messages exchanged with services that score samples.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Path for scoring requests, which are idempotent.
pub const SCORE: &str = "/score";

/// Request for the score of a sample.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The prompt.
    pub prompt: Arc<str>,
    /// The generated text.
    pub text: String,
}

/// The score of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ScoreResponse {
    /// The score; higher is better.
    pub score: f64,
}
