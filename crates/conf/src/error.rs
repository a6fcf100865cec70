//! Errors in settings files, and suggestions for misspelled names.

use std::fmt;
use std::sync::Arc;

/// An error in a settings file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file name as given to [`Document::parse`](crate::Document::parse).
    pub file: Arc<str>,
    /// The line, counted from 1. For a missing key it is the line of the section header, or 0 if the
    /// file has no such section.
    pub line: u32,
    /// The kind of error and its details.
    pub kind: SettingsErrorKind,
}

/// The kind of a [`SettingsError`]. Its [`Display`](fmt::Display) text is the message without the
/// position.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsErrorKind {
    /// The line is neither a section header, a key nor a comment.
    #[error("expected `[section]`, `key = value` or a comment, found {text:?}")]
    Syntax {
        /// The text of the line.
        text: Box<str>,
    },
    /// A key precedes the first section header.
    #[error("key {key:?} stands before the first section")]
    KeyOutsideSection {
        /// The key's name.
        key: Box<str>,
    },
    /// The file has two sections of the same name.
    #[error("section [{section}] is already on line {first_line}")]
    DuplicateSection {
        /// The section's name.
        section: Box<str>,
        /// The line of the first occurrence.
        first_line: u32,
    },
    /// A section has the same key twice.
    #[error("key {key:?} of [{section}] is already on line {first_line}")]
    DuplicateKey {
        /// The section's name.
        section: Box<str>,
        /// The key's name.
        key: Box<str>,
        /// The line of the first occurrence.
        first_line: u32,
    },
    /// The program does not read a section of this name.
    #[error("unknown section [{section}]{}", did_you_mean(.suggestion))]
    UnknownSection {
        /// The section's name.
        section: Box<str>,
        /// The most similar known name, if one is similar enough.
        suggestion: Option<Box<str>>,
    },
    /// The program does not read a key of this name in the section.
    #[error("unknown key {key:?} in [{section}]{}", did_you_mean(.suggestion))]
    UnknownKey {
        /// The section's name.
        section: Box<str>,
        /// The key's name.
        key: Box<str>,
        /// The most similar known name, if one is similar enough.
        suggestion: Option<Box<str>>,
    },
    /// The value does not parse or is not allowed.
    #[error("{key} of [{section}]: expected {expected}, found {found:?}")]
    InvalidValue {
        /// The section's name.
        section: Box<str>,
        /// The key's name.
        key: Box<str>,
        /// A description of valid values.
        expected: &'static str,
        /// The value in the file.
        found: Box<str>,
    },
    /// A required key is absent.
    #[error("[{section}] needs the key {key:?}: {expected}")]
    MissingKey {
        /// The section's name.
        section: Box<str>,
        /// The key's name.
        key: Box<str>,
        /// A description of valid values.
        expected: &'static str,
    },
}

fn did_you_mean(suggestion: &Option<Box<str>>) -> String {
    suggestion
        .as_ref()
        .map(|name| format!("; did you mean {name:?}?"))
        .unwrap_or_default()
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.kind);
        }
        write!(f, "{}:{}: {}", self.file, self.line, self.kind)
    }
}

/// The errors of one or more settings files. [`Document::finish`](crate::Document::finish) sorts
/// them by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the known name most similar to `name`, if one is similar enough to suggest.
pub(crate) fn nearest_name<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<Box<str>> {
    known
        .into_iter()
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, other)| other.into())
}
