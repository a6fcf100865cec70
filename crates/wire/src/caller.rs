//! Messages with callers and trainers.

use std::sync::Arc;

use kernel::Name;
use serde::Deserialize;
use serde::Serialize;
use step::Sample;
use step::Span;
use step::run::Counts;

/// Header with the caller's name for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the caller's deadline in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Header with the identifier of a request, on every answer.
pub const REQUEST_ID: &str = "x-request-id";

/// Header on an answer that comes from the journal.
pub const REPLAYED: &str = "idempotent-replayed";

/// A request for a completion, in the usual form.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The model.
    pub model: Name,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens at most.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether to send the answer as server-sent events while it is made.
    #[serde(default)]
    pub stream: bool,
    /// Sampling temperature, passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Nucleus sampling, passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Seed of the sampling, passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Texts at which to stop, passed on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
    /// The caller's own name for its user; kept out of logs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
}

fn default_tokens() -> u32 {
    256
}

/// One choice of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Always 0: one choice a request.
    pub index: u32,
    /// The text, or the next piece of it in a stream.
    pub text: String,
    /// Why it ended; absent in a stream until the last piece.
    pub finish_reason: Option<String>,
}

/// Tokens of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Tokens that were generated.
    pub completion_tokens: u32,
}

/// An answer to a [`CompletionRequest`], or one event of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The identifier of the request.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// The model.
    pub model: Name,
    /// The choice.
    pub choices: Vec<Choice>,
    /// On a whole answer and on a stream's last event: the tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// With `usage`: which weight versions produced which tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Span>,
}

/// Opens a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenStep {
    /// The model.
    pub model: Name,
    /// One prompt a group.
    pub groups: Vec<Arc<str>>,
    /// Samples in each group.
    pub samples: u32,
    /// Tokens at most in a sample.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// The version that the trainer trains on now.
    pub version: u64,
}

/// An opened step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenedStep {
    /// Its identifier.
    pub step: String,
    /// Samples in it.
    pub total: u32,
    /// The staleness bound, from the contract.
    pub bound: u64,
}

/// Takes finished samples of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The version that the trainer trains on now.
    pub version: u64,
    /// What the trainer holds: the cursor of the batch that it took last; empty at the start.
    #[serde(default)]
    pub cursor: String,
    /// Samples at most.
    #[serde(default = "default_limit")]
    pub limit: usize,
    /// Milliseconds to wait for a sample when none is ready.
    #[serde(default)]
    pub wait_ms: u64,
}

fn default_limit() -> usize {
    256
}

/// A batch of samples.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// The samples.
    pub samples: Vec<Arc<Sample>>,
    /// What the trainer holds with them; send it with the next pull.
    pub cursor: String,
    /// Whether the trainer then holds every sample.
    pub done: bool,
}

/// Announces a weight version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceVersion {
    /// The version; higher than any before.
    pub version: u64,
}

/// What became of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncedVersion {
    /// The newest version that is announced now.
    pub version: u64,
}

/// How a step stands, for `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepState {
    /// Its identifier.
    pub step: String,
    /// The instance that works on it.
    pub instance: Name,
    /// The customer.
    pub customer: Name,
    /// Samples in it.
    pub total: u32,
    /// Samples that the trainer holds.
    pub held: u32,
    /// Samples that are finished and wait for the trainer.
    pub ready: u32,
    /// Samples that run.
    pub running: u32,
    /// What happened.
    pub counts: Counts,
    /// What happened, in words and in order.
    pub events: Vec<HistoryEntry>,
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Milliseconds since 1970.
    pub at: u64,
    /// What happened.
    pub what: Box<str>,
}
