//! Messages exchanged with callers and trainers.

use std::sync::Arc;

use kernel::Name;
use serde::Deserialize;
use serde::Serialize;
use step::Sample;
use step::Span;
use step::run::Counts;

/// Request header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header with the caller's timeout in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Response header with the request identifier, set on every response.
pub const REQUEST_ID: &str = "x-request-id";

/// Header on a response that is replayed from the journal.
pub const REPLAYED: &str = "idempotent-replayed";

/// Completion request in the format common to inference APIs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The model.
    pub model: Name,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Sampling temperature, passed to the engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Nucleus sampling probability, passed to the engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Sampling seed, passed to the engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Strings that end the generation, passed to the engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
    /// The caller's identifier of its end user; never logged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
}

fn default_tokens() -> u32 {
    256
}

/// One choice in a completion response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Choice {
    /// Always 0, as each request has one choice.
    pub index: u32,
    /// The text, or the next part of it in a stream.
    pub text: String,
    /// Why generation ended; in a stream, set only on the last event.
    pub finish_reason: Option<String>,
}

/// Token counts of a completion response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// Response to a [`CompletionRequest`], or one event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The request identifier.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// The model.
    pub model: Name,
    /// The choices; always one.
    pub choices: Vec<Choice>,
    /// Token counts; set on an unstreamed response and on the last event of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// The weight versions that produced each range of tokens; set together with `usage`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Span>,
}

/// Request to open a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenStep {
    /// The model.
    pub model: Name,
    /// One prompt per group.
    pub groups: Vec<Arc<str>>,
    /// Number of samples per group.
    pub samples: u32,
    /// Maximum number of tokens per sample.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// The weight version that the trainer currently trains.
    pub version: u64,
}

/// Response to [`OpenStep`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenedStep {
    /// The step identifier.
    pub step: String,
    /// Number of samples in the step.
    pub total: u32,
    /// The staleness bound, from the contract.
    pub bound: u64,
}

/// Request for finished samples of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The weight version that the trainer currently trains.
    pub version: u64,
    /// Cursor of the last batch that the trainer received; empty at the start.
    #[serde(default)]
    pub cursor: String,
    /// Maximum number of samples to return.
    #[serde(default = "default_limit")]
    pub limit: usize,
    /// How long to wait, in milliseconds, if no sample is ready.
    #[serde(default)]
    pub wait_ms: u64,
}

fn default_limit() -> usize {
    256
}

/// A batch of finished samples.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// The samples.
    pub samples: Vec<Arc<Sample>>,
    /// Identifies the samples received so far; sent back in the next [`PullRequest`].
    pub cursor: String,
    /// Whether the trainer has every sample of the step after this batch.
    pub done: bool,
}

/// Request to announce a weight version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceVersion {
    /// The version; must be higher than all earlier ones to have an effect.
    pub version: u64,
}

/// Response to [`AnnounceVersion`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncedVersion {
    /// The newest announced version.
    pub version: u64,
}

/// State of a step, shown by the `explain` command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepState {
    /// The step identifier.
    pub step: String,
    /// The instance that runs the step.
    pub instance: Name,
    /// The customer.
    pub customer: Name,
    /// Number of samples in the step.
    pub total: u32,
    /// Samples that the trainer has received.
    pub held: u32,
    /// Finished samples that the trainer has not pulled yet.
    pub ready: u32,
    /// Samples in progress.
    pub running: u32,
    /// Event counters.
    pub counts: Counts,
    /// Event history in chronological order.
    pub events: Vec<HistoryEntry>,
}

/// One entry of an event history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Unix time in milliseconds, counted from 1970.
    pub at: u64,
    /// Description of the event.
    pub what: Box<str>,
}
