//! Validated names.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a [`Name`] in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name of a customer, model, service, instance, failure domain or upstream.
///
/// Clones share the text. A name consists of 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `.`, `_` and
/// `-` and begins with a letter or digit, so paths, keys, labels and logs need no escaping.
///
/// # Examples
///
/// ```
/// use kernel::Name;
///
/// let name: Name = "fitting-nord.2".parse()?;
/// assert_eq!(&*name, "fitting-nord.2");
/// assert!("../etc".parse::<Name>().is_err());
/// # Ok::<(), kernel::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Name(Arc<str>);

/// The reason why a text is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The text contains a character outside the allowed set, or begins with `.`, `_` or `-`.
    #[error("a name holds a-z, 0-9, '.', '_', '-' and begins with a letter or digit")]
    InvalidCharacter,
}

fn validate(text: &str) -> Result<(), NameError> {
    let Some(first) = text.bytes().next() else {
        return Err(NameError::Empty);
    };
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let is_alphanumeric = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    if !is_alphanumeric(first) {
        return Err(NameError::InvalidCharacter);
    }
    if !text
        .bytes()
        .all(|b| is_alphanumeric(b) || b".-_".contains(&b))
    {
        return Err(NameError::InvalidCharacter);
    }
    Ok(())
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        validate(text)?;
        Ok(Self(text.into()))
    }
}

impl TryFrom<Arc<str>> for Name {
    type Error = NameError;

    fn try_from(text: Arc<str>) -> Result<Self, NameError> {
        validate(&text)?;
        Ok(Self(text))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
