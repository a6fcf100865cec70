//! Identifiers of requests and of attempts at them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Identifies one client request; returned to the client as `X-Request-Id`.
///
/// # Examples
///
/// ```
/// use kernel::RequestId;
///
/// let id = RequestId::from_bits(7);
/// assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestId(u128);

/// The text is not a valid [`RequestId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a request identifier: expected 32 hexadecimal digits")]
pub struct RequestIdError;

impl RequestId {
    /// Generates a UUID version 7, which sorts by its time of creation.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().as_u128())
    }

    /// Creates an identifier from its 128 bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the identifier of this request's attempt number `ordinal`, counted from 0.
    pub fn attempt(self, ordinal: u32) -> AttemptId {
        AttemptId {
            request: self,
            ordinal,
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        if text.len() != 32 {
            return Err(RequestIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| RequestIdError)
    }
}

/// Identifies one attempt at a request, so that a response can be matched to its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, counted from 0.
    pub ordinal: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.ordinal)
    }
}
