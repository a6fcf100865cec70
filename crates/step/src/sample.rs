//! Chunks of an engine's stream, and whole samples.

use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// One piece of a stream, as an engine sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Tokens of the completion before this chunk.
    pub offset: u32,
    /// Tokens in this chunk.
    pub tokens: u32,
    /// The text of these tokens.
    pub text: String,
    /// The weight version that produced them.
    pub version: Version,
    /// Set on the last chunk of the completion: why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<String>,
}

/// A run of tokens that one weight version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Span {
    /// The first token.
    pub from: u32,
    /// The token after the last.
    pub to: u32,
    /// The weight version.
    pub version: Version,
}

/// A whole sample.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The ordinal within the step.
    pub index: u32,
    /// The ordinal of the group.
    pub group: u32,
    /// The text.
    pub text: String,
    /// Tokens in the text.
    pub tokens: u32,
    /// Which versions produced which tokens, without gaps.
    pub spans: Vec<Span>,
    /// Why it ended.
    pub finish: String,
    /// The score, when the contract asks for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<f64>,
}

impl Sample {
    /// The oldest version that produced a token of it.
    pub fn oldest_version(&self) -> Version {
        let versions = self.spans.iter().map(|span| span.version);
        versions.min().unwrap_or(0)
    }

    /// How many versions it is behind a trainer at `version`.
    pub fn staleness(&self, version: Version) -> u64 {
        version.saturating_sub(self.oldest_version())
    }
}

/// Adds tokens to the spans, and joins them to the last span when the version is the same.
pub(crate) fn extend(spans: &mut Vec<Span>, from: u32, tokens: u32, version: Version) {
    if tokens == 0 {
        return;
    }
    let to = from + tokens;
    match spans.last_mut() {
        Some(last) if last.version == version => last.to = to,
        _ => spans.push(Span { from, to, version }),
    }
}
