//! Identifiers of requests and attempts.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Names one request of a caller; returned to it as `X-Request-Id`.
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

/// The text is not a request identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a request identifier: expected 32 hexadecimal digits")]
pub struct IdError;

impl RequestId {
    /// Makes an identifier that sorts by the time of its creation (UUID version 7).
    pub fn generate() -> Self {
        Self(Uuid::now_v7().as_u128())
    }

    /// Makes an identifier from its bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the attempt with the given ordinal of this request.
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
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.len() != 32 {
            return Err(IdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError)
    }
}

/// Names one attempt at a request, so that an answer can be matched to the attempt it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The ordinal of the attempt, from 0.
    pub ordinal: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.ordinal)
    }
}
