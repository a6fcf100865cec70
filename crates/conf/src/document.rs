//! A settings file split into sections.

use std::sync::Arc;

use ini_core::Item;
use ini_core::Parser;

use crate::Section;
use crate::SettingsError;
use crate::SettingsErrorKind;
use crate::SettingsErrors;
use crate::error::nearest_name;

/// A parsed settings file from which the program takes one section after another.
#[derive(Debug)]
pub struct Document {
    file: Arc<str>,
    sections: Vec<Section>,
    /// Section names that the program has asked for, `kind NAME` for those with a label.
    requested_names: Vec<Box<str>>,
    errors: Vec<SettingsError>,
}

impl Document {
    /// Splits the text of `file` into sections. [`Document::finish`] returns the errors found.
    pub fn parse(file: &str, text: &str) -> Self {
        let mut doc = Self {
            file: file.into(),
            sections: Vec::new(),
            requested_names: Vec::new(),
            errors: Vec::new(),
        };
        // The parser counts line feeds, so a last line without one would be reported with the number
        // of the line before it.
        let text = format!("{text}\n");
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            doc.handle_item(parser.line(), item);
        }
        doc
    }

    fn handle_item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(name) => self.start_section(line, name),
            Item::Property(key, _) if key.starts_with('#') => (),
            Item::Property(key, Some(value)) => self.add_property(line, key, value),
            Item::Property(text, None) | Item::Error(text) => {
                self.record_error(line, SettingsErrorKind::Syntax { text: text.into() });
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => (),
        }
    }

    fn start_section(&mut self, line: u32, name: &str) {
        if let Some(first) = self.sections.iter().find(|s| s.name() == name) {
            let first_line = first.line();
            let section = name.into();
            self.record_error(
                line,
                SettingsErrorKind::DuplicateSection {
                    section,
                    first_line,
                },
            );
        }
        self.sections
            .push(Section::new(self.file.clone(), line, name));
    }

    fn add_property(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.record_error(
                line,
                SettingsErrorKind::KeyOutsideSection { key: key.into() },
            );
            return;
        };
        section.add(line, key, value);
    }

    fn record_error(&mut self, line: u32, kind: SettingsErrorKind) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            line,
            kind,
        });
    }

    /// Removes and returns the section `name`; an empty section if the file has none.
    pub fn take_section(&mut self, name: &str) -> Section {
        self.requested_names.push(name.into());
        match self.sections.iter().position(|s| s.name() == name) {
            Some(index) => self.sections.remove(index),
            None => Section::new(self.file.clone(), 0, name),
        }
    }

    /// Removes and returns every section `[kind NAME]` in file order.
    pub fn take_sections(&mut self, kind: &str) -> Vec<Section> {
        self.requested_names.push(format!("{kind} NAME").into());
        let prefix = format!("{kind} ");
        let (taken, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.name().starts_with(&prefix));
        self.sections = rest;
        taken
    }

    /// Collects the errors of a section after its keys were read; keys that were not read are
    /// reported as unknown.
    pub fn finish_section(&mut self, section: Section) {
        self.errors.extend(section.into_errors());
    }

    /// Reports every error of the file at once, including sections that were not taken.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsErrors`] if there is at least one, sorted by line.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        for section in std::mem::take(&mut self.sections) {
            if self
                .requested_names
                .iter()
                .any(|name| **name == *section.name())
            {
                continue;
            }
            let suggestion = nearest_name(
                section.name(),
                self.requested_names.iter().map(|name| &**name),
            );
            let line = section.line();
            let section = section.name().into();
            self.record_error(
                line,
                SettingsErrorKind::UnknownSection {
                    section,
                    suggestion,
                },
            );
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|error| error.line);
        Err(SettingsErrors(self.errors))
    }
}
