//! API keys and credentials of callers.

use std::fmt;

use kernel::TokenDigest;

/// Digest of an API key. The key itself is stored nowhere, and neither appears in log lines or debug output.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key(TokenDigest);

impl Key {
    /// Computes the digest of a key as a caller sends it or an operator configures it.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Key;
    ///
    /// assert_eq!(Key::of("k-1"), Key::of("k-1"));
    /// assert_eq!(format!("{:?}", Key::of("k-1")), "Key(hidden)");
    /// ```
    pub fn of(text: &str) -> Self {
        Self(TokenDigest::of(text))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

/// Credential that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// None.
    None,
    /// Something that is not a key, or more than one key.
    Malformed,
    /// A key.
    Key(Key),
}
