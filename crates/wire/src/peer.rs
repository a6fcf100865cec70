//! Messages between instances: MessagePack with field names over HTTP, signed with a shared key.
//!
//! Field names travel along, unknown fields are passed over and new ones have defaults, so two
//! releases run side by side. [`VERSION`] rises only when that does not do.

use contract::Revision;
use contract::registry::ActiveContract;
use fleet::Member;
use fleet::Rumour;
use hmac::Hmac;
use hmac::Mac;
use kernel::AttemptId;
use kernel::Name;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Record;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use crate::Problem;
use crate::caller::Batch;
use crate::caller::PullRequest;

/// Version of the messages between instances.
pub const VERSION: u16 = 1;

/// Header with the version.
pub const VERSION_HEADER: &str = "x-snipeway-version";

/// Header with the signature.
pub const MAC_HEADER: &str = "x-snipeway-mac";

/// Media type.
pub const MEDIA_TYPE: &str = "application/msgpack";

/// Path for probes.
pub const PING: &str = "/peer/ping";

/// Path for asking the journal through a peer.
pub const JOURNAL: &str = "/peer/journal";

/// Path for pulls of a step that a peer works on.
pub const STEP_PULL: &str = "/peer/step/pull";

/// Path for the end of a step that a peer works on.
pub const STEP_END: &str = "/peer/step/end";

/// A probe, with news.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ping {
    /// Who probes.
    pub from: Member,
    /// The newest contract revision that it has in force.
    pub newest: Revision,
    /// Milliseconds since it last knew that this is the newest, if it ever did.
    #[serde(default)]
    pub known: Option<u64>,
    /// News.
    #[serde(default)]
    pub rumours: Vec<Rumour>,
    /// Contracts that the receiver's last answer showed to be missing there.
    #[serde(default)]
    pub contracts: Vec<ActiveContract>,
    /// Whom to probe on the sender's behalf, if anyone.
    #[serde(default)]
    pub probe: Option<Member>,
}

/// The answer to a probe.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pong {
    /// Who answers.
    pub from: Member,
    /// The newest contract revision that it has in force.
    pub newest: Revision,
    /// Milliseconds since it last knew that this is the newest, if it ever did.
    #[serde(default)]
    pub known: Option<u64>,
    /// News.
    #[serde(default)]
    pub rumours: Vec<Rumour>,
    /// Contracts that the sender's probe showed to be missing there.
    #[serde(default)]
    pub contracts: Vec<ActiveContract>,
    /// Whether the instance that was to be probed answered.
    #[serde(default)]
    pub reached: Option<Member>,
}

/// Something for the journal, sent to the instance that writes a shard for others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JournalRequest {
    /// Ask for the right to run.
    Ask {
        /// The key.
        key: Key,
        /// The request.
        print: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
        /// Milliseconds until the caller's deadline.
        left: u64,
    },
    /// Write a record.
    Note(Record),
}

/// The answer to a [`JournalRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JournalReply {
    /// To [`JournalRequest::Ask`].
    Answer(Verdict),
    /// To [`JournalRequest::Note`].
    Noted,
}

/// [`Decision`] as it travels.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The attempt may run.
    Run,
    /// It ran before.
    Ran(once::Outcome),
    /// It may have run.
    Unknown,
    /// The key names another request.
    Mismatch,
    /// Nothing was written.
    Refused,
}

impl From<Decision> for Verdict {
    fn from(answer: Decision) -> Self {
        match answer {
            Decision::Run => Self::Run,
            Decision::Ran(outcome) => Self::Ran(outcome),
            Decision::Unknown => Self::Unknown,
            Decision::Mismatch => Self::Mismatch,
            Decision::Refused => Self::Refused,
        }
    }
}

impl From<Verdict> for Decision {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Run => Self::Run,
            Verdict::Ran(outcome) => Self::Ran(outcome),
            Verdict::Unknown => Self::Unknown,
            Verdict::Mismatch => Self::Mismatch,
            Verdict::Refused => Self::Refused,
        }
    }
}

/// A pull that is passed on to the instance that works on the step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepPull {
    /// The step.
    pub step: String,
    /// The customer who pulls.
    pub customer: Name,
    /// What it asks.
    pub pull: PullRequest,
}

/// The answer to a [`StepPull`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StepPulled {
    /// The batch.
    Batch(Batch),
    /// The refusal to pass on.
    Refused(Problem),
}

/// Tells the instance that works on a step that it is over.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepEnd {
    /// The step.
    pub step: String,
    /// The customer whose step it is.
    pub customer: Name,
}

/// How an instance stands, for `status`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub me: Member,
    /// Whether it takes calls.
    pub ready: bool,
    /// The newest contract revision in force.
    pub newest: Revision,
    /// Milliseconds since it last knew that this is the newest, if it ever did.
    pub known: Option<u64>,
    /// Whether it reads the platform for its failure domain.
    pub reader: bool,
    /// Whom it knows.
    pub members: Vec<Member>,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamState>,
}

/// How an upstream stands in one instance's eyes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamState {
    /// Its name.
    pub name: Name,
    /// The model or service that it serves.
    pub pool: Name,
    /// Its standing, in a word.
    pub standing: Box<str>,
    /// Requests of this instance that run there.
    pub outstanding: u32,
    /// Mean latency in milliseconds.
    pub latency: f64,
    /// The weight version that it stated last.
    pub version: Option<u64>,
}

/// A message between instances is not to be believed or not to be understood.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// The signature is missing or wrong.
    #[error("the signature is missing or wrong")]
    Signature,
    /// The version is not one that this instance speaks.
    #[error("the message has version {0:?}; this instance speaks {VERSION}")]
    Version(String),
    /// The bytes are no such message.
    #[error("the message could not be decoded")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message could not be written.
    #[error("the message could not be encoded")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// The key by which instances prove that they belong together.
#[derive(Clone)]
pub struct Secret(Box<[u8]>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Takes the key from the settings.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().into())
    }

    fn mac(&self, path: &str, body: &[u8]) -> Option<Hmac<Sha256>> {
        // A key of any length will do for HMAC, so this is never `None`.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(path.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        Some(mac)
    }

    /// Signs a message for a path.
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mac = self.mac(path, body);
        mac.map(|mac| hex::encode(mac.finalize().into_bytes()))
            .unwrap_or_default()
    }

    /// Checks the signature of a message in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Signature`] when it is missing or wrong.
    ///
    /// # Examples
    ///
    /// ```
    /// use wire::peer::Secret;
    ///
    /// let secret = Secret::new("of this fleet");
    /// let sign = secret.sign("/peer/ping", b"hello");
    /// assert!(secret.check("/peer/ping", b"hello", Some(&sign)).is_ok());
    /// assert!(secret.check("/peer/ping", b"other", Some(&sign)).is_err());
    /// assert!(secret.check("/peer/ping", b"hello", None).is_err());
    /// ```
    pub fn check(&self, path: &str, body: &[u8], sign: Option<&str>) -> Result<(), PeerError> {
        let sign = sign.and_then(|text| hex::decode(text).ok());
        let mac = self.mac(path, body);
        let (Some(sign), Some(mac)) = (sign, mac) else {
            return Err(PeerError::Signature);
        };
        mac.verify_slice(&sign).map_err(|_| PeerError::Signature)
    }
}

/// Writes a message.
///
/// # Errors
///
/// Returns [`PeerError::Encode`] when the codec fails.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Reads a message.
///
/// # Errors
///
/// Returns [`PeerError::Decode`] when the bytes are no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
