//! What the platform keeps of a step.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of one part of a step's samples: platforms take values of up to a megabyte, which base64
/// makes a third longer.
const PART: usize = 512 << 10;

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
}

/// One start of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    pub least: u64,
    /// Groups that the trainer waits for.
    pub wanted: u32,
    /// Its samples.
    pub total: u32,
    /// The sum of what its samples are expected to have, in what their senders count; each counts
    /// for one at least.
    pub work: u64,
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
    pub fn print(&self) -> u64 {
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

impl Spec {
    /// Encodes the samples in parts that fit into one value of the platform each.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`].
    pub fn parts(&self) -> Result<Vec<Vec<u8>>, RecordError> {
        let bytes = encode(self)?;
        Ok(bytes.chunks(PART).map(<[u8]>::to_vec).collect())
    }

    /// Decodes the samples from their parts.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`], also when a part is missing.
    pub fn join<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Result<Self, RecordError> {
        let bytes: Vec<u8> = parts.flatten().copied().collect();
        decode(&bytes)
    }
}

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It is whole.
    Whole,
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
