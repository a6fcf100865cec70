//! Records of a step that are stored at the platform, and their encoding.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Maximum bytes of one part of a step's samples: platforms accept values of up to a megabyte,
/// which base64 makes a third longer, and a reader that looks for one sample holds one part in
/// memory.
const MAX_PART_BYTES: usize = 512 << 10;

/// About the memory that a sample takes without its bodies, in bytes.
const SAMPLE_OVERHEAD_BYTES: usize = 512;

/// Maximum encoding overhead of a part, in bytes.
const MAX_OVERHEAD_BYTES: usize = 64;

/// An error while encoding or decoding a record.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RecordError {
    /// The record cannot be encoded.
    #[error("could not encode a record")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The record cannot be decoded.
    #[error("could not decode a record")]
    Decode(#[from] rmp_serde::decode::Error),
    /// Parts of the record are missing.
    #[error("parts of a record are missing")]
    Missing,
}

/// One run of an instance, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The name of the instance.
    pub instance: Arc<str>,
    /// Identifies the start among those of the instance.
    pub start: u64,
}

/// The record of a step without its samples; rewritten when the step changes its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The instance that runs its samples.
    pub owner: Owner,
    /// When it was opened, in milliseconds since 1970 on the clock of the instance that accepted
    /// it.
    pub opened: Millis,
    /// The host under which it was submitted.
    pub host: Arc<str>,
    /// The path under which it was submitted.
    pub path: Arc<str>,
    /// The model that generates its samples.
    pub model: Arc<str>,
    /// The oldest weight version that may generate its tokens.
    #[serde(rename = "least")]
    pub min_version: u64,
    /// Number of groups that must complete before the trainer continues.
    #[serde(rename = "wanted")]
    pub required_groups: u32,
    /// Number of samples.
    pub total: u32,
    /// The sum of the expected lengths of its samples, in the unit that their senders use; each
    /// counts as at least one.
    pub work: u64,
    /// The team that it belongs to; missing in records written by versions without teams.
    #[serde(default)]
    pub team: Option<Arc<str>>,
    /// The revision of the head when the step was ended. It is the last field and is omitted while
    /// the step is open, so that versions without it can read the heads of open steps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<i64>,
}

/// A sample to be generated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The name of the sample.
    pub id: Arc<str>,
    /// The group of the sample. Samples of a group share their prompt and only count together.
    pub group: Arc<str>,
    /// The path of the request.
    pub path: Arc<str>,
    /// Headers of the request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body of the request.
    #[serde(with = "crate::shared_bytes")]
    pub body: Bytes,
    /// Expected number of tokens; 0 if unknown.
    pub expected: u32,
    /// Number of prompt tokens; 0 if unknown.
    pub prompt: u32,
    /// The request that scores the sample, if there is one.
    #[serde(default)]
    pub scoring: Option<Scoring>,
}

/// A request that scores a sample once its text is complete.
///
/// It is sent through the route of its own host and path, like an idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Scoring {
    /// The name of the request.
    pub id: Arc<str>,
    /// The host of the request.
    pub host: Arc<str>,
    /// The path of the request.
    pub path: Arc<str>,
    /// The body of the request.
    #[serde(with = "crate::shared_bytes")]
    pub body: Bytes,
}

impl Sample {
    /// A hash of the sample's name and request: samples of the same name whose requests differ have
    /// different fingerprints.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        self.path.hash(&mut hasher);
        self.headers.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }
}

/// The samples of a step, in the order in which they were submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// The samples.
    pub samples: Vec<Sample>,
}

/// One stored value with some of a step's samples.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Part {
    /// The index of its first sample in the step.
    first: u32,
    /// Whether the bytes continue in the next part because they do not fit into one value.
    more: bool,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

/// Decodes a step's samples from their parts, which must be added in order.
///
/// Samples are returned part by part, so a reader that looks for one sample need not hold all of
/// them in memory.
///
/// # Examples
///
/// ```
/// use batch::{Sample, Spec, record::SpecDecoder};
///
/// let sample = |id: &str| Sample {
///     id: id.into(), group: "g".into(), path: "/a".into(), headers: Vec::new(), body: vec![1].into(),
///     expected: 1, prompt: 1, scoring: None,
/// };
/// let spec = Spec { samples: vec![sample("a"), sample("b")] };
/// let mut decoder = SpecDecoder::default();
/// let mut found = Vec::new();
/// for value in spec.encode_parts()? {
///     found.extend(decoder.add(&value)?);
/// }
/// assert_eq!(found, spec.samples);
/// # Ok::<(), batch::RecordError>(())
/// ```
#[derive(Debug, Default)]
pub struct SpecDecoder {
    next_index: u32,
    buffer: Vec<u8>,
}

impl SpecDecoder {
    /// Adds the next part and returns the samples that it completes.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the part is invalid or does not follow the previous one.
    pub fn add(&mut self, value: &[u8]) -> Result<Vec<Sample>, RecordError> {
        let part: Part = decode(value)?;
        if part.first != self.next_index {
            return Err(RecordError::Missing);
        }
        self.buffer.extend_from_slice(&part.bytes);
        if part.more {
            return Ok(Vec::new());
        }
        let bytes = std::mem::take(&mut self.buffer);
        let samples: Vec<Sample> = decode(&bytes)?;
        self.next_index += samples.len() as u32;
        Ok(samples)
    }
}

impl Spec {
    /// Encodes the samples as parts that each fit into one value of the platform.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if a sample cannot be encoded.
    pub fn encode_parts(&self) -> Result<Vec<Vec<u8>>, RecordError> {
        self.parts().collect()
    }

    /// Encodes the samples part by part, so that a reader need not hold all of them in memory.
    pub fn parts(&self) -> Parts<'_> {
        Parts {
            spec: self,
            next: 0,
            encoded: Encoded::default(),
        }
    }

    /// Returns about the number of bytes that the samples take in memory.
    pub fn size(&self) -> usize {
        let sizes = self.samples.iter().map(|sample| {
            let scoring = sample.scoring.as_ref();
            SAMPLE_OVERHEAD_BYTES
                + sample.body.len()
                + scoring.map_or(0, |scoring| scoring.body.len())
        });
        sizes.sum()
    }

    /// Encodes as many samples from index `first` on as fit into a part, at least one; also returns
    /// their number.
    fn encode_part(&self, first: usize) -> Result<(usize, Vec<u8>), RecordError> {
        let rest = &self.samples[first..];
        let mut bytes = 0;
        let mut count = 0;
        for sample in rest {
            bytes += encode(sample)?.len();
            if count > 0 && bytes > MAX_PART_BYTES - MAX_OVERHEAD_BYTES {
                break;
            }
            count += 1;
        }
        Ok((count, encode(&&rest[..count])?))
    }

    /// Decodes the `total` samples of a step from their parts.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if a part is invalid or missing.
    pub fn decode_parts<'a>(
        values: impl Iterator<Item = &'a [u8]>,
        total: u32,
    ) -> Result<Self, RecordError> {
        let mut decoder = SpecDecoder::default();
        let mut samples = Vec::new();
        for value in values {
            samples.extend(decoder.add(value)?);
        }
        match samples.len() == total as usize {
            true => Ok(Self { samples }),
            false => Err(RecordError::Missing),
        }
    }
}

/// The parts of a specification, each encoded when it is asked for.
#[derive(Debug)]
pub struct Parts<'a> {
    spec: &'a Spec,
    /// Index of the first sample that is not encoded.
    next: usize,
    /// The samples encoded last, of which a long one takes several parts.
    encoded: Encoded,
}

/// Encoded samples that are passed on part by part.
#[derive(Debug, Default)]
struct Encoded {
    /// Index of the first of them.
    first: usize,
    bytes: Vec<u8>,
    /// Number of bytes that were passed on.
    passed: usize,
}

impl Encoded {
    fn is_passed(&self) -> bool {
        self.passed == self.bytes.len()
    }

    fn next_part(&mut self) -> Result<Vec<u8>, RecordError> {
        let rest = &self.bytes[self.passed..];
        let chunk = &rest[..rest.len().min(MAX_PART_BYTES)];
        self.passed += chunk.len();
        encode(&Part {
            first: self.first as u32,
            more: !self.is_passed(),
            bytes: chunk.to_vec(),
        })
    }
}

impl Parts<'_> {
    /// Encodes the next samples.
    fn advance(&mut self) -> Result<(), RecordError> {
        // Freed before the next ones are encoded.
        self.encoded = Encoded::default();
        let (count, bytes) = self.spec.encode_part(self.next)?;
        self.encoded = Encoded {
            first: self.next,
            bytes,
            passed: 0,
        };
        self.next += count;
        Ok(())
    }
}

impl Iterator for Parts<'_> {
    type Item = Result<Vec<u8>, RecordError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.encoded.is_passed() {
            if self.next >= self.spec.samples.len() {
                return None;
            }
            if let Err(error) = self.advance() {
                self.next = self.spec.samples.len();
                return Some(Err(error));
            }
        }
        Some(self.encoded.next_part())
    }
}

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// Its text is complete, and so is its score if it needs one.
    #[serde(rename = "Whole")]
    Completed,
    /// Its text or its score could not be completed, and it is not retried.
    Failed,
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The index of the sample in the step.
    pub index: u32,
    /// The name of the sample.
    pub id: Arc<str>,
    /// How the sample ended.
    pub outcome: Outcome,
    /// The data of the events, separated by line feeds.
    pub text: Arc<str>,
    /// The weight versions that generated the text.
    pub versions: Vec<u64>,
    /// The signature of the scorer's response, for a sample with a scoring request.
    #[serde(default)]
    pub score: Option<Arc<str>>,
}

/// Encodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RecordError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are not a valid encoding.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, RecordError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
