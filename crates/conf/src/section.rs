//! A section of a settings file and typed access to its keys.

use std::str::FromStr;
use std::sync::Arc;

use crate::SettingsError;
use crate::SettingsErrorKind;
use crate::error::nearest_name;

/// A `key = value` line, and whether the program has read it.
#[derive(Debug)]
struct Entry {
    line: u32,
    key: Box<str>,
    value: Box<str>,
    read: bool,
}

/// A section of a settings file. It tracks which keys the program reads, so that the others can
/// be reported as unknown.
#[derive(Debug)]
pub struct Section {
    file: Arc<str>,
    line: u32,
    name: Box<str>,
    entries: Vec<Entry>,
    requested_keys: Vec<&'static str>,
    errors: Vec<SettingsError>,
}

impl Section {
    pub(crate) fn new(file: Arc<str>, line: u32, name: &str) -> Self {
        Self {
            file,
            line,
            name: name.into(),
            entries: Vec::new(),
            requested_keys: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Returns the full text between the brackets.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the text after the first space of the name, `NAME` in `[upstream NAME]`; empty if
    /// the name has no space.
    pub fn label(&self) -> &str {
        self.name.split_once(' ').map_or("", |(_, label)| label)
    }

    /// Returns the line of the section header, or 0 if the file has no such section.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Returns whether the file contains the section.
    pub fn exists(&self) -> bool {
        self.line > 0
    }

    pub(crate) fn add(&mut self, line: u32, key: &str, value: &str) {
        if let Some(first) = self.entries.iter().find(|entry| &*entry.key == key) {
            let kind = SettingsErrorKind::DuplicateKey {
                section: self.name.clone(),
                key: key.into(),
                first_line: first.line,
            };
            self.record_error(line, kind);
            return;
        }
        self.entries.push(Entry {
            line,
            key: key.into(),
            value: value.into(),
            read: false,
        });
    }

    fn record_error(&mut self, line: u32, kind: SettingsErrorKind) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            line,
            kind,
        });
    }

    fn read_entry(&mut self, key: &'static str) -> Option<(u32, Box<str>)> {
        self.requested_keys.push(key);
        let entry = self.entries.iter_mut().find(|entry| &*entry.key == key)?;
        entry.read = true;
        Some((entry.line, entry.value.clone()))
    }

    /// Reads an optional key. Returns [`None`] if the key is absent, and also if its value does not
    /// parse, which is recorded as an error; `expected` describes a valid value in the message.
    pub fn get<T: FromStr>(&mut self, key: &'static str, expected: &'static str) -> Option<T> {
        let (line, found) = self.read_entry(key)?;
        let value = found.parse().ok();
        if value.is_none() {
            self.invalid_value(line, key, expected, found);
        }
        value
    }

    /// Reads an optional key and returns `default` where [`Section::get`] returns [`None`].
    pub fn get_or<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        default: T,
    ) -> T {
        self.get(key, expected).unwrap_or(default)
    }

    /// Reads a required key. Returns [`None`] and records an error if it is absent or does not parse.
    pub fn require<T: FromStr>(&mut self, key: &'static str, expected: &'static str) -> Option<T> {
        if !self.entries.iter().any(|entry| &*entry.key == key) {
            self.requested_keys.push(key);
            self.missing_key(key, expected);
            return None;
        }
        self.get(key, expected)
    }

    /// Records an error for a value that parses but is not allowed here, or for an absent key whose
    /// default is not allowed.
    pub fn report_invalid(&mut self, key: &'static str, expected: &'static str) {
        let Some((line, found)) = self.read_entry(key) else {
            self.missing_key(key, expected);
            return;
        };
        self.invalid_value(line, key, expected, found);
    }

    fn missing_key(&mut self, key: &'static str, expected: &'static str) {
        let kind = SettingsErrorKind::MissingKey {
            section: self.name.clone(),
            key: key.into(),
            expected,
        };
        self.record_error(self.line, kind);
    }

    fn invalid_value(&mut self, line: u32, key: &str, expected: &'static str, found: Box<str>) {
        let kind = SettingsErrorKind::InvalidValue {
            section: self.name.clone(),
            key: key.into(),
            expected,
            found,
        };
        self.record_error(line, kind);
    }

    pub(crate) fn into_errors(mut self) -> Vec<SettingsError> {
        for entry in std::mem::take(&mut self.entries) {
            if entry.read {
                continue;
            }
            let kind = SettingsErrorKind::UnknownKey {
                section: self.name.clone(),
                suggestion: nearest_name(&entry.key, self.requested_keys.iter().copied()),
                key: entry.key,
            };
            self.record_error(entry.line, kind);
        }
        self.errors
    }
}
