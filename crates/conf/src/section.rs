//! One section of a settings file.

use std::str::FromStr;
use std::sync::Arc;

use crate::SettingsError;
use crate::SettingsErrorKind;
use crate::error::nearest;

/// A key with its value, and whether it has been asked for.
#[derive(Debug)]
struct Entry {
    line: u32,
    key: Box<str>,
    value: Box<str>,
    read: bool,
}

/// One section of a settings file, which remembers what it was asked for.
#[derive(Debug)]
pub struct Section {
    file: Arc<str>,
    line: u32,
    name: Box<str>,
    entries: Vec<Entry>,
    known: Vec<&'static str>,
    mistakes: Vec<SettingsError>,
}

impl Section {
    pub(crate) fn new(file: Arc<str>, line: u32, name: &str) -> Self {
        Self {
            file,
            line,
            name: name.into(),
            entries: Vec::new(),
            known: Vec::new(),
            mistakes: Vec::new(),
        }
    }

    /// The whole name between the brackets.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The name after the first space, as in `[upstream NAME]`.
    pub fn label(&self) -> &str {
        self.name.split_once(' ').map_or("", |(_, label)| label)
    }

    /// The line of the section, or 0 when the file does not have it.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Tells whether the file has the section.
    pub fn exists(&self) -> bool {
        self.line > 0
    }

    pub(crate) fn add(&mut self, line: u32, key: &str, value: &str) {
        if let Some(first) = self.entries.iter().find(|entry| &*entry.key == key) {
            let problem = SettingsErrorKind::TwiceKey {
                section: self.name.clone(),
                key: key.into(),
                first: first.line,
            };
            self.mistake(line, problem);
            return;
        }
        self.entries.push(Entry {
            line,
            key: key.into(),
            value: value.into(),
            read: false,
        });
    }

    fn mistake(&mut self, line: u32, problem: SettingsErrorKind) {
        self.mistakes.push(SettingsError {
            file: self.file.clone(),
            line,
            problem,
        });
    }

    fn find(&mut self, key: &'static str) -> Option<(u32, Box<str>)> {
        self.known.push(key);
        let entry = self.entries.iter_mut().find(|entry| &*entry.key == key)?;
        entry.read = true;
        Some((entry.line, entry.value.clone()))
    }

    /// Reads an optional key.
    pub fn get<T: FromStr>(&mut self, key: &'static str, expected: &'static str) -> Option<T> {
        let (line, found) = self.find(key)?;
        let value = found.parse().ok();
        if value.is_none() {
            self.bad(line, key, expected, found);
        }
        value
    }

    /// Reads a key that has a default.
    pub fn get_or<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        default: T,
    ) -> T {
        self.get(key, expected).unwrap_or(default)
    }

    /// Reads a key that must be there.
    pub fn require<T: FromStr>(&mut self, key: &'static str, expected: &'static str) -> Option<T> {
        if !self.entries.iter().any(|entry| &*entry.key == key) {
            self.known.push(key);
            self.missing(key, expected);
            return None;
        }
        self.get(key, expected)
    }

    /// Reports a value that parsed but is not allowed here, or a default that does not do.
    pub fn report_invalid(&mut self, key: &'static str, expected: &'static str) {
        let Some((line, found)) = self.find(key) else {
            self.missing(key, expected);
            return;
        };
        self.bad(line, key, expected, found);
    }

    fn missing(&mut self, key: &'static str, expected: &'static str) {
        let problem = SettingsErrorKind::Missing {
            section: self.name.clone(),
            key: key.into(),
            expected,
        };
        self.mistake(self.line, problem);
    }

    fn bad(&mut self, line: u32, key: &str, expected: &'static str, found: Box<str>) {
        let problem = SettingsErrorKind::Value {
            section: self.name.clone(),
            key: key.into(),
            expected,
            found,
        };
        self.mistake(line, problem);
    }

    pub(crate) fn finish(mut self) -> Vec<SettingsError> {
        for entry in std::mem::take(&mut self.entries) {
            if entry.read {
                continue;
            }
            let problem = SettingsErrorKind::UnknownKey {
                section: self.name.clone(),
                near: nearest(&entry.key, self.known.iter().copied()),
                key: entry.key,
            };
            self.mistake(entry.line, problem);
        }
        self.mistakes
    }
}
