//! Idempotency keys and request fingerprints.

use std::fmt;

use kernel::Millis;
use kernel::digest;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Maximum length of an `Idempotency-Key` in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// The hash of a customer's key for one service, which the journal stores instead of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Key(u128);

/// The hash of a request's method, path and body. It detects a key that is reused for a different
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u64);

/// The error for an invalid `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("the key is empty")]
    Empty,
    /// The key has more than [`MAX_KEY_BYTES`] bytes.
    #[error("the key has more than {MAX_KEY_BYTES} bytes")]
    TooLong,
}

impl Key {
    /// Hashes the key that a customer sent with a call to a service.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if the text is empty or too long.
    ///
    /// # Examples
    ///
    /// ```
    /// use once::Key;
    ///
    /// let one = Key::new("aarhus", "portal", "order-1")?;
    /// let two = Key::new("rabattwerk", "portal", "order-1")?;
    /// assert_ne!(one, two);
    /// # Ok::<(), once::key::KeyError>(())
    /// ```
    pub fn new(customer: &str, service: &str, text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        let parts = [customer.as_bytes(), service.as_bytes(), text.as_bytes()];
        Ok(Self(u128::from_be_bytes(digest(&parts))))
    }

    /// Returns the index of the key's shard among `count` shards.
    pub fn shard(self, count: u32) -> u32 {
        (self.0 % u128::from(count.max(1))) as u32
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Fingerprint {
    /// Hashes a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), path.as_bytes(), body];
        Self(u64::from_be_bytes(digest(&parts)))
    }
}

/// Returns the creation time of a key that is a version 7 UUID, in milliseconds since 1970.
///
/// # Examples
///
/// ```
/// let at = once::key::creation_time("01890a5d-ac96-774b-bcce-b302099a8057");
/// assert_eq!(at, Some(1_688_096_058_518));
/// assert_eq!(once::key::creation_time("order-1"), None);
/// ```
pub fn creation_time(text: &str) -> Option<Millis> {
    let uuid = Uuid::parse_str(text).ok()?;
    let (seconds, nanos) = match uuid.get_version_num() {
        7 => uuid.get_timestamp()?.to_unix(),
        _ => return None,
    };
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
