//! The journal's records and segments as they are stored.

use kernel::AttemptId;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::Key;

/// Maximum size in bytes of a response body that the journal stores.
pub const MAX_BODY_BYTES: usize = 4_096;

/// The recorded response of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    #[serde(rename = "kind")]
    pub content_type: Box<str>,
    /// The body; [`None`] if it was longer than [`MAX_BODY_BYTES`].
    pub body: Option<Box<[u8]>>,
}

/// A state change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// An attempt has claimed the right to run the request.
    Intent {
        /// The key.
        key: Key,
        /// The hash of the request.
        #[serde(rename = "print")]
        fingerprint: Fingerprint,
        /// The attempt that may run it.
        attempt: AttemptId,
        /// The time of the claim in milliseconds since 1970, by the writer's clock.
        at: Millis,
    },
    /// The request ran and got this response.
    Done {
        /// The key.
        key: Key,
        /// The response.
        outcome: Outcome,
    },
    /// The attempt did not run, so the key may be used again.
    #[serde(rename = "Free")]
    Release {
        /// The key.
        key: Key,
        /// The attempt that releases the key.
        attempt: AttemptId,
    },
}

impl Record {
    /// Returns the key that the record applies to.
    pub fn key(&self) -> Key {
        match self {
            Self::Intent { key, .. } | Self::Done { key, .. } | Self::Release { key, .. } => *key,
        }
    }
}

/// The records of one write to a shard. Stored as an array of its fields, so their order is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// The sequence number of the segment in its shard, starting at 1 without gaps.
    pub seq: u64,
    /// The lowest sequence number that is kept; this write deletes the expired segments below it.
    #[serde(rename = "floor")]
    pub min_seq: u64,
    /// The records in the order in which they apply.
    pub records: Vec<Record>,
}

/// The error for bytes that are not a valid segment.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not decode a journal segment")]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// The error for a segment that cannot be encoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not encode a journal segment")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

impl Segment {
    /// Encodes the segment as MessagePack.
    ///
    /// # Errors
    ///
    /// Returns [`EncodeError`] if the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes a segment that [`Segment::encode`] produced.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
