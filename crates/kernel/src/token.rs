//! Bearer tokens and their digests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The SHA-256 digest of a bearer token. The token itself is never stored or logged.
///
/// # Examples
///
/// ```
/// use kernel::TokenDigest;
///
/// let digest = TokenDigest::of("till-7");
/// assert!(digest.matches(&TokenDigest::of("till-7")));
/// assert_eq!(digest.to_string().parse::<TokenDigest>(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenDigest([u8; 32]);

/// The text is not a hexadecimal SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected 64 hexadecimal digits")]
pub struct TokenDigestError;

impl TokenDigest {
    /// Computes the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Compares two digests in constant time, so that response times reveal nothing about them.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for TokenDigest {
    type Err = TokenDigestError;

    fn from_str(text: &str) -> Result<Self, TokenDigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| TokenDigestError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for TokenDigest {
    type Error = TokenDigestError;

    fn try_from(text: String) -> Result<Self, TokenDigestError> {
        text.parse()
    }
}

impl From<TokenDigest> for String {
    fn from(digest: TokenDigest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({}..)", hex::encode(&self.0[..4]))
    }
}
