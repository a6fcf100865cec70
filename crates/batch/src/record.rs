//! What the platform keeps of a step.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of one part of a step's samples: platforms take values of up to a megabyte, which base64
/// makes a third longer, and whoever looks for one sample has one part at a time in memory.
const PART: usize = 512 << 10;

/// Bytes of a part beside its samples, at most.
const FRAME: usize = 64;

/// A record cannot be written or read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RecordError {
    /// It cannot be encoded.
    #[error("could not encode a record")]
    Encode(#[from] rmp_serde::encode::Error),
    /// It cannot be decoded.
    #[error("could not decode a record")]
    Decode(#[from] rmp_serde::decode::Error),
    /// Parts of it are missing.
    #[error("parts of a record are missing")]
    Missing,
}

/// One start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The instance.
    pub instance: Arc<str>,
    /// Which of its starts.
    pub start: u64,
}

/// What is kept of a step beside its samples; it changes with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Who runs its samples.
    pub owner: Owner,
    /// When it was opened, in milliseconds since 1970 on the clock of who accepted it.
    pub opened: Millis,
    /// The host under which it was submitted.
    pub host: Arc<str>,
    /// The path under which it was submitted.
    pub path: Arc<str>,
    /// The model that generates its samples.
    pub model: Arc<str>,
    /// The oldest version of the weights that may generate its tokens.
    #[serde(rename = "least")]
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub wanted: u32,
    /// Its samples.
    pub total: u32,
    /// The sum of what its samples are expected to have, in what their senders count; each counts
    /// for one at least.
    pub work: u64,
    /// The team that it belongs to; records of versions before teams have none.
    #[serde(default)]
    pub team: Option<Arc<str>>,
    /// The revision that it had when it was ended, once it has ended. It stands last and is left out before, so
    /// that versions without it read the heads of open steps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<i64>,
}

/// A sample to be generated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Its name.
    pub id: Arc<str>,
    /// Samples of one group share their prompt, and count only together.
    pub group: Arc<str>,
    /// The path of its request.
    pub path: Arc<str>,
    /// Headers of its request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body of its request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Tokens that it is expected to have; 0 when nobody has said.
    pub expected: u32,
    /// Tokens of its prompt; 0 when nobody has said.
    pub prompt: u32,
    /// The request that scores it, if it has one.
    #[serde(default)]
    pub scoring: Option<Scoring>,
}

/// A request that scores a sample once its text is whole.
///
/// It goes through the route of its own host and path, like a call that may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Scoring {
    /// The name of the request.
    pub id: Arc<str>,
    /// Its host.
    pub host: Arc<str>,
    /// Its path.
    pub path: Arc<str>,
    /// Its body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl Sample {
    /// A number that differs between samples whose requests differ, though their names be alike.
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

/// One value of the platform with some of a step's samples.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Part {
    /// The place of its first sample in the step.
    first: u32,
    /// Whether the next part goes on with the bytes of this one, since they do not fit into one value.
    more: bool,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

/// Puts a step's samples together from their parts, which come in order.
///
/// Each part can be read alone, so that whoever looks for one sample keeps no more than that one.
///
/// # Examples
///
/// ```
/// use batch::{Sample, Spec, record::SpecDecoder};
///
/// let sample = |id: &str| Sample {
///     id: id.into(), group: "g".into(), path: "/a".into(), headers: Vec::new(), body: vec![1],
///     expected: 1, prompt: 1, scoring: None,
/// };
/// let spec = Spec { samples: vec![sample("a"), sample("b")] };
/// let mut parts = SpecDecoder::default();
/// let mut found = Vec::new();
/// for value in spec.encode_parts()? {
///     found.extend(parts.add(&value)?);
/// }
/// assert_eq!(found, spec.samples);
/// # Ok::<(), batch::RecordError>(())
/// ```
#[derive(Debug, Default)]
pub struct SpecDecoder {
    next: u32,
    bytes: Vec<u8>,
}

impl SpecDecoder {
    /// Takes in the next part; gives the samples that are whole with it.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`], also when a part before it is missing.
    pub fn add(&mut self, value: &[u8]) -> Result<Vec<Sample>, RecordError> {
        let part: Part = decode(value)?;
        if part.first != self.next {
            return Err(RecordError::Missing);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if part.more {
            return Ok(Vec::new());
        }
        let bytes = std::mem::take(&mut self.bytes);
        let samples: Vec<Sample> = decode(&bytes)?;
        self.next += samples.len() as u32;
        Ok(samples)
    }
}

impl Spec {
    /// Encodes the samples in parts that fit into one value of the platform each.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`].
    pub fn encode_parts(&self) -> Result<Vec<Vec<u8>>, RecordError> {
        let mut parts = Vec::new();
        let mut first = 0;
        while first < self.samples.len() {
            let (count, bytes) = self.some(first)?;
            let mut chunks = bytes.chunks(PART).peekable();
            while let Some(chunk) = chunks.next() {
                parts.push(encode(&Part {
                    first: first as u32,
                    more: chunks.peek().is_some(),
                    bytes: chunk.to_vec(),
                })?);
            }
            first += count;
        }
        Ok(parts)
    }

    /// Encodes as many samples from one on as fit into a part, at least one; gives their number too.
    fn some(&self, first: usize) -> Result<(usize, Vec<u8>), RecordError> {
        let rest = &self.samples[first..];
        let mut bytes = 0;
        let mut count = 0;
        for sample in rest {
            bytes += encode(sample)?.len();
            if count > 0 && bytes > PART - FRAME {
                break;
            }
            count += 1;
        }
        Ok((count, encode(&&rest[..count])?))
    }

    /// Decodes a step's `total` samples from their parts.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`], also when a part is missing.
    pub fn decode_parts<'a>(
        values: impl Iterator<Item = &'a [u8]>,
        total: u32,
    ) -> Result<Self, RecordError> {
        let mut parts = SpecDecoder::default();
        let mut samples = Vec::new();
        for value in values {
            samples.extend(parts.add(value)?);
        }
        match samples.len() == total as usize {
            true => Ok(Self { samples }),
            false => Err(RecordError::Missing),
        }
    }
}

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It is whole.
    #[serde(rename = "Whole")]
    Completed,
    /// It was given up.
    Failed,
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The sample's place in the step.
    pub index: u32,
    /// The sample's name.
    pub id: Arc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// The data of its events, separated by line feeds.
    pub text: Arc<str>,
    /// The versions of the weights that generated it.
    pub versions: Vec<u64>,
    /// The signature of the scorer's answer, for a sample that brings a request for it.
    #[serde(default)]
    pub score: Option<Arc<str>>,
}

/// Encodes a record.
///
/// # Errors
///
/// Returns [`RecordError`].
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RecordError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`RecordError`].
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, RecordError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
