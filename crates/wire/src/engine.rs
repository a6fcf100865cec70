//! Messages with model engines.

use std::sync::Arc;

use kernel::AttemptId;
use serde::Deserialize;
use serde::Serialize;
use weight::Stated;

pub use step::Chunk;

/// Path for generation; the answer is a stream of [`Chunk`]s.
pub const GENERATE: &str = "/v1/generate";

/// Path for the load report.
pub const LOAD: &str = "/v1/load";

/// Path for orders.
pub const ORDER: &str = "/v1/order";

/// Header with the requests that an upstream is working on, on any of its answers.
pub const RUNNING: &str = "x-running";

/// Asks an engine to generate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt; cancelling is closing the connection.
    pub attempt: AttemptId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Text that is there already, to go on from.
    #[serde(default)]
    pub resume: String,
    /// Tokens in `resume`; the first chunk has this offset.
    #[serde(default)]
    pub offset: u32,
    /// Tokens at most, those in `resume` among them.
    pub max_tokens: u32,
    /// Priority; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Sampling temperature.
    #[serde(default)]
    pub temperature: Option<f64>,
    /// Nucleus sampling.
    #[serde(default)]
    pub top_p: Option<f64>,
    /// Texts at which to stop.
    #[serde(default)]
    pub stop: Vec<String>,
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it is working on or holds back.
    pub running: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// The weights.
    pub stated: Stated,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// The version.
    pub version: u64,
    /// Where to fetch it.
    pub source: String,
    /// The fencing number.
    pub fence: i64,
    /// Whether running streams go on over the swap; else they are ended for others to resume.
    pub keep: bool,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderReply {
    /// It begins to load.
    Accepted,
    /// It has seen a higher fencing number.
    Fenced,
}
