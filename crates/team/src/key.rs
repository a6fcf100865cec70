//! Keys of callers.

use std::fmt;

use kernel::TokenDigest;

/// The digest of a key. The key itself is kept nowhere, and neither is shown in lines or debug output.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key(TokenDigest);

impl Key {
    /// Computes the digest of a key as a caller or the operator writes it.
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

/// What a request brings to say who sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    None,
    /// Something that is no key, or more than one.
    Malformed,
    /// A key.
    Key(Key),
}
