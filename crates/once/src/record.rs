//! What the journal keeps.

use kernel::AttemptId;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::Key;

/// Largest body of an answer that the journal keeps, in bytes.
pub const MAX_BODY_BYTES: usize = 4_096;

/// The recorded answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    #[serde(rename = "kind")]
    pub content_type: Box<str>,
    /// The body; [`None`] when it was longer than [`MAX_BODY_BYTES`].
    pub body: Option<Box<[u8]>>,
}

/// One fact about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// An attempt holds the right to run the request.
    Intent {
        /// The key.
        key: Key,
        /// The request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// Who may run it.
        attempt: AttemptId,
        /// When, in milliseconds since 1970 by the writer's clock.
        at: Millis,
    },
    /// The attempt ended with this answer.
    Done {
        /// The key.
        key: Key,
        /// The answer.
        outcome: Outcome,
    },
    /// The attempt did not run, so the key may be used again.
    #[serde(rename = "Free")]
    Release {
        /// The key.
        key: Key,
        /// The attempt that gives its right back.
        attempt: AttemptId,
    },
}

impl Record {
    /// The key that the record is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Intent { key, .. } | Self::Done { key, .. } | Self::Release { key, .. } => *key,
        }
    }
}

/// The records of one write to a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// The ordinal of the segment in its shard, from 1 without gaps.
    pub seq: u64,
    /// Lowest ordinal that is kept; those below have expired and are removed by this write.
    #[serde(rename = "floor")]
    pub min_seq: u64,
    /// The records in the order of writing.
    pub records: Vec<Record>,
}

/// A segment cannot be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not decode a journal segment")]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// A segment cannot be written.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not encode a journal segment")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

impl Segment {
    /// Encodes the segment with MessagePack.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] when the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes what [`Segment::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] when the bytes are no segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
