//! Chunks of an engine's stream, and complete samples.

use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// One chunk of a stream, as sent by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Number of tokens of the completion before this chunk.
    pub offset: u32,
    /// Number of tokens in this chunk.
    pub tokens: u32,
    /// The text of these tokens.
    pub text: String,
    /// The weight version that produced them.
    pub version: Version,
    /// Why the completion ended; set on its last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<String>,
}

/// A range of tokens that were produced by one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Span {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// The weight version.
    pub version: Version,
}

/// A complete sample.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The index of the sample in the step.
    pub index: u32,
    /// The index of its group.
    pub group: u32,
    /// The generated text.
    pub text: String,
    /// Number of tokens in the text.
    pub tokens: u32,
    /// The weight version of each range of tokens, without gaps.
    pub spans: Vec<Span>,
    /// Why the completion ended.
    pub finish: String,
    /// The score, if the contract requires one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<f64>,
}

impl Sample {
    /// The oldest weight version that produced a token of the sample.
    pub fn oldest_version(&self) -> Version {
        let versions = self.spans.iter().map(|span| span.version);
        versions.min().unwrap_or(0)
    }

    /// Number of weight versions that the sample is behind a trainer at `version`.
    pub fn staleness(&self, version: Version) -> u64 {
        version.saturating_sub(self.oldest_version())
    }
}

/// Appends tokens to the spans; extends the last span if the version is the same.
pub(crate) fn extend_spans(spans: &mut Vec<Span>, from: u32, tokens: u32, version: Version) {
    if tokens == 0 {
        return;
    }
    let to = from + tokens;
    match spans.last_mut() {
        Some(last) if last.version == version => last.to = to,
        _ => spans.push(Span { from, to, version }),
    }
}
