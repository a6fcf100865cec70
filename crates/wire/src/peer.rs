//! Messages between instances: MessagePack with field names over HTTP, signed with a shared key.
//!
//! Messages include field names, unknown fields are ignored and new fields have defaults, so that
//! two releases can run side by side. [`VERSION`] increases only for changes that this does not
//! cover.

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

/// Protocol version of messages between instances.
pub const VERSION: u16 = 1;

/// Header with the protocol version.
pub const VERSION_HEADER: &str = "x-snipeway-version";

/// Header with the message authentication code.
pub const MAC_HEADER: &str = "x-snipeway-mac";

/// Media type of messages between instances.
pub const MEDIA_TYPE: &str = "application/msgpack";

/// Path for gossip probes.
pub const PING: &str = "/peer/ping";

/// Path for journal requests to the instance that writes the shard.
pub const JOURNAL: &str = "/peer/journal";

/// Path for pulls that are forwarded to the instance that runs the step.
pub const STEP_PULL: &str = "/peer/step/pull";

/// Path for ending a step that another instance runs.
pub const STEP_END: &str = "/peer/step/end";

/// A gossip probe.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: Member,
    /// The newest contract revision that this instance has in effect.
    pub newest: Revision,
    /// Milliseconds since this revision was last confirmed as the newest, if it ever was.
    #[serde(default)]
    pub known: Option<u64>,
    /// Membership updates.
    #[serde(default)]
    pub rumours: Vec<Rumour>,
    /// Contracts that the receiver lacks according to its last response.
    #[serde(default)]
    pub contracts: Vec<ActiveContract>,
    /// Instance to probe on the sender's behalf, if any.
    #[serde(default)]
    pub probe: Option<Member>,
}

/// The response to a [`Ping`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pong {
    /// The responding instance.
    pub from: Member,
    /// The newest contract revision that this instance has in effect.
    pub newest: Revision,
    /// Milliseconds since this revision was last confirmed as the newest, if it ever was.
    #[serde(default)]
    pub known: Option<u64>,
    /// Membership updates.
    #[serde(default)]
    pub rumours: Vec<Rumour>,
    /// Contracts that the sender lacks according to its probe.
    #[serde(default)]
    pub contracts: Vec<ActiveContract>,
    /// The instance probed on the sender's behalf, if it responded.
    #[serde(default)]
    pub reached: Option<Member>,
}

/// Request to the instance that writes a journal shard on behalf of the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JournalRequest {
    /// Requests permission to run a keyed request.
    Ask {
        /// The idempotency key.
        key: Key,
        /// Fingerprint of the request.
        print: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
        /// Milliseconds until the caller's deadline.
        left: u64,
    },
    /// Appends a record.
    Note(Record),
}

/// The response to a [`JournalRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JournalReply {
    /// The decision on a [`JournalRequest::Ask`].
    Answer(JournalDecision),
    /// Acknowledges a [`JournalRequest::Note`].
    Noted,
}

/// Wire format of [`Decision`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JournalDecision {
    /// The attempt may run.
    Run,
    /// The request has already run, with this outcome.
    Ran(once::Outcome),
    /// The request may have run.
    Unknown,
    /// The key belongs to a different request.
    Mismatch,
    /// The claim was rejected or not confirmed in time; the request must not run.
    Refused,
}

impl From<Decision> for JournalDecision {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Run => Self::Run,
            Decision::Ran(outcome) => Self::Ran(outcome),
            Decision::Unknown => Self::Unknown,
            Decision::Mismatch => Self::Mismatch,
            Decision::Refused => Self::Refused,
        }
    }
}

impl From<JournalDecision> for Decision {
    fn from(decision: JournalDecision) -> Self {
        match decision {
            JournalDecision::Run => Self::Run,
            JournalDecision::Ran(outcome) => Self::Ran(outcome),
            JournalDecision::Unknown => Self::Unknown,
            JournalDecision::Mismatch => Self::Mismatch,
            JournalDecision::Refused => Self::Refused,
        }
    }
}

/// A pull that is forwarded to the instance that runs the step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepPull {
    /// The step.
    pub step: String,
    /// The customer that pulls.
    pub customer: Name,
    /// The forwarded request.
    pub pull: PullRequest,
}

/// The response to a [`StepPull`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StepPulled {
    /// The batch.
    Batch(Batch),
    /// The error to return to the caller.
    Refused(Problem),
}

/// Notifies the instance that runs a step that the step has ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepEnd {
    /// The step.
    pub step: String,
    /// The customer that owns the step.
    pub customer: Name,
}

/// State of an instance, shown by the `status` command.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub me: Member,
    /// Whether the instance accepts calls.
    pub ready: bool,
    /// The newest contract revision in effect.
    pub newest: Revision,
    /// Milliseconds since this revision was last confirmed as the newest, if it ever was.
    pub known: Option<u64>,
    /// Whether the instance reads the platform for its failure domain.
    pub reader: bool,
    /// The instances known to this instance.
    pub members: Vec<Member>,
    /// The upstreams known to the instance.
    pub upstreams: Vec<UpstreamState>,
}

/// State of an upstream as seen by one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub name: Name,
    /// The model or service that it serves.
    pub pool: Name,
    /// Status of the upstream, as a short text.
    pub standing: Box<str>,
    /// Requests from this instance that the upstream is processing.
    pub outstanding: u32,
    /// Mean latency in milliseconds.
    pub latency: f64,
    /// The weight version that it last reported.
    pub version: Option<u64>,
}

/// Error while authenticating, decoding or encoding a message between instances.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// The signature is missing or wrong.
    #[error("the signature is missing or wrong")]
    Signature,
    /// This instance does not support the protocol version.
    #[error("the message has version {0:?}; this instance speaks {VERSION}")]
    Version(String),
    /// The message could not be decoded.
    #[error("the message could not be decoded")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message could not be encoded.
    #[error("the message could not be encoded")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Shared key with which instances authenticate messages to each other.
#[derive(Clone)]
pub struct Secret(Box<[u8]>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Creates the key from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().into())
    }

    fn mac(&self, path: &str, body: &[u8]) -> Option<Hmac<Sha256>> {
        // HMAC accepts keys of any length, so this is never `None`.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(path.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        Some(mac)
    }

    /// Computes the message authentication code of a path and body, in hexadecimal.
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mac = self.mac(path, body);
        mac.map(|mac| hex::encode(mac.finalize().into_bytes()))
            .unwrap_or_default()
    }

    /// Verifies the signature of a message in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Signature`] if the signature is missing or wrong.
    ///
    /// # Examples
    ///
    /// ```
    /// use wire::peer::Secret;
    ///
    /// let secret = Secret::new("shared key");
    /// let signature = secret.sign("/peer/ping", b"hello");
    /// assert!(secret.check("/peer/ping", b"hello", Some(&signature)).is_ok());
    /// assert!(secret.check("/peer/ping", b"other", Some(&signature)).is_err());
    /// assert!(secret.check("/peer/ping", b"hello", None).is_err());
    /// ```
    pub fn check(&self, path: &str, body: &[u8], signature: Option<&str>) -> Result<(), PeerError> {
        let signature = signature.and_then(|text| hex::decode(text).ok());
        let mac = self.mac(path, body);
        let (Some(signature), Some(mac)) = (signature, mac) else {
            return Err(PeerError::Signature);
        };
        mac.verify_slice(&signature)
            .map_err(|_| PeerError::Signature)
    }
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`PeerError::Encode`] if encoding fails.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`PeerError::Decode`] if the bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
