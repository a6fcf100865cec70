//! What can be wrong with a settings file.

use std::fmt;
use std::sync::Arc;

/// One mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: Arc<str>,
    /// The line, counted from 1; 0 when the mistake is an absence.
    pub line: u32,
    /// What is wrong.
    pub problem: SettingsErrorKind,
}

/// What is wrong at the place that a [`SettingsError`] names.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SettingsErrorKind {
    /// The line is no section, key or comment.
    #[error("expected `[section]`, `key = value` or a comment, found {text:?}")]
    Syntax {
        /// The line's text.
        text: Box<str>,
    },
    /// A key stands before the first section.
    #[error("key {key:?} stands before the first section")]
    Homeless {
        /// The key.
        key: Box<str>,
    },
    /// The section is there twice.
    #[error("section [{section}] is already on line {first}")]
    TwiceSection {
        /// The section.
        section: Box<str>,
        /// Where it stands first.
        first: u32,
    },
    /// The key is there twice in one section.
    #[error("key {key:?} of [{section}] is already on line {first}")]
    TwiceKey {
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// Where it stands first.
        first: u32,
    },
    /// Nobody asked for the section.
    #[error("unknown section [{section}]{}", hint(.near))]
    UnknownSection {
        /// The section.
        section: Box<str>,
        /// The nearest known name.
        near: Option<Box<str>>,
    },
    /// Nobody asked for the key.
    #[error("unknown key {key:?} in [{section}]{}", hint(.near))]
    UnknownKey {
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// The nearest known name.
        near: Option<Box<str>>,
    },
    /// The value does not have the expected form.
    #[error("{key} of [{section}]: expected {expected}, found {found:?}")]
    Value {
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// What would be right.
        expected: &'static str,
        /// What stands there.
        found: Box<str>,
    },
    /// The key has no default and is not there.
    #[error("[{section}] needs the key {key:?}: {expected}")]
    Missing {
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// What would be right.
        expected: &'static str,
    },
}

fn hint(near: &Option<Box<str>>) -> String {
    near.as_ref()
        .map(|near| format!("; did you mean {near:?}?"))
        .unwrap_or_default()
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.problem);
        }
        write!(f, "{}:{}: {}", self.file, self.line, self.problem)
    }
}

/// Every mistake of one file, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, mistake) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Similarity (Jaro-Winkler) from which a known name is offered as a hint.
const NEAR: f64 = 0.8;

/// Finds the known name that `name` was most likely meant to be.
pub(crate) fn nearest<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<Box<str>> {
    known
        .into_iter()
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(score, _)| *score >= NEAR)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, other)| other.into())
}
