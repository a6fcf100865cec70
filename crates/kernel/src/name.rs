//! Shared, checked names.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Longest name in bytes.
pub const MAX_NAME: usize = 64;

/// A name of a customer, model, service, instance, failure domain or upstream.
///
/// Cloning shares the text. A name is 1 to [`MAX_NAME`] bytes of `a-z`, `0-9`, `.`, `_` and `-`,
/// and begins with a letter or digit, so it can stand in paths, keys, labels and logs as it is.
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

/// Why a text is not a [`Name`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text has more than [`MAX_NAME`] bytes.
    #[error("a name has at most {MAX_NAME} bytes")]
    Long,
    /// The text holds a character outside the allowed set, or begins with a sign.
    #[error("a name holds a-z, 0-9, '.', '_', '-' and begins with a letter or digit")]
    Character,
}

fn check(text: &str) -> Result<(), NameError> {
    let Some(first) = text.bytes().next() else {
        return Err(NameError::Empty);
    };
    if text.len() > MAX_NAME {
        return Err(NameError::Long);
    }
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    if !plain(first) {
        return Err(NameError::Character);
    }
    if !text.bytes().all(|b| plain(b) || b".-_".contains(&b)) {
        return Err(NameError::Character);
    }
    Ok(())
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        check(text)?;
        Ok(Self(text.into()))
    }
}

impl TryFrom<Arc<str>> for Name {
    type Error = NameError;

    fn try_from(text: Arc<str>) -> Result<Self, NameError> {
        check(&text)?;
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
