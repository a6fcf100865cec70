//! Messages exchanged with model engines.

use std::sync::Arc;

use kernel::AttemptId;
use serde::Deserialize;
use serde::Serialize;
use weight::WeightState;

pub use step::Chunk;

/// Path for generation; the response is a stream of [`Chunk`]s.
pub const GENERATE: &str = "/v1/generate";

/// Path of the load report.
pub const LOAD: &str = "/v1/load";

/// Path for load orders.
pub const ORDER: &str = "/v1/order";

/// Response header with the number of requests that an upstream is processing.
pub const RUNNING: &str = "x-running";

/// Request to generate text.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt; closing the connection cancels it.
    pub attempt: AttemptId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Text that has already been generated and is to be continued.
    #[serde(default)]
    pub resume: String,
    /// Number of tokens in `resume`; the first chunk has this offset.
    #[serde(default)]
    pub offset: u32,
    /// Maximum number of tokens, including those in `resume`.
    pub max_tokens: u32,
    /// Priority; higher values are served first.
    #[serde(default)]
    pub priority: u8,
    /// Sampling seed.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Sampling temperature.
    #[serde(default)]
    pub temperature: Option<f64>,
    /// Nucleus sampling probability.
    #[serde(default)]
    pub top_p: Option<f64>,
    /// Strings that end the generation.
    #[serde(default)]
    pub stop: Vec<String>,
}

/// An engine's report of its load and weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are being processed or queued.
    pub running: u32,
    /// Requests that the engine can process concurrently.
    pub slots: u32,
    /// The weight versions that the engine reports.
    pub stated: WeightState,
    /// Whether the engine is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// The version.
    pub version: u64,
    /// URL to download it from; empty if the engine uses its own store.
    pub source: String,
    /// The fencing token.
    pub fence: i64,
    /// Whether running streams continue with the new weights; otherwise they end and are resumed
    /// on other engines.
    pub keep: bool,
}

/// An engine's reply to a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderReply {
    /// The engine starts to load the version.
    Accepted,
    /// The engine rejects the order because it has seen a higher fencing token.
    Fenced,
}
