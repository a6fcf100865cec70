//! The sections of one settings file.

use std::sync::Arc;

use ini_core::Item;
use ini_core::Parser;

use crate::Section;
use crate::SettingsError;
use crate::SettingsErrorKind;
use crate::SettingsErrors;
use crate::error::nearest;

/// One settings file, read section by section.
#[derive(Debug)]
pub struct Document {
    file: Arc<str>,
    sections: Vec<Section>,
    known: Vec<Box<str>>,
    mistakes: Vec<SettingsError>,
}

impl Document {
    /// Splits the text of `file` into sections. Errors are kept for [`Document::finish`].
    pub fn parse(file: &str, text: &str) -> Self {
        let mut doc = Self {
            file: file.into(),
            sections: Vec::new(),
            known: Vec::new(),
            mistakes: Vec::new(),
        };
        // The parser counts line ends; a last line without one would get the number before its own.
        let text = format!("{text}\n");
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            doc.item(parser.line(), item);
        }
        doc
    }

    fn item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(name) => self.open(line, name),
            Item::Property(key, _) if key.starts_with('#') => (),
            Item::Property(key, Some(value)) => self.property(line, key, value),
            Item::Property(text, None) | Item::Error(text) => {
                self.mistake(line, SettingsErrorKind::Syntax { text: text.into() });
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => (),
        }
    }

    fn open(&mut self, line: u32, name: &str) {
        if let Some(first) = self.sections.iter().find(|s| s.name() == name) {
            let first = first.line();
            let section = name.into();
            self.mistake(line, SettingsErrorKind::TwiceSection { section, first });
        }
        self.sections
            .push(Section::new(self.file.clone(), line, name));
    }

    fn property(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.mistake(line, SettingsErrorKind::Homeless { key: key.into() });
            return;
        };
        section.add(line, key, value);
    }

    fn mistake(&mut self, line: u32, problem: SettingsErrorKind) {
        self.mistakes.push(SettingsError {
            file: self.file.clone(),
            line,
            problem,
        });
    }

    /// Takes the section `name` out to read it; an empty one when the file has none.
    pub fn take_section(&mut self, name: &str) -> Section {
        self.known.push(name.into());
        match self.sections.iter().position(|s| s.name() == name) {
            Some(at) => self.sections.remove(at),
            None => Section::new(self.file.clone(), 0, name),
        }
    }

    /// Takes out every section `[kind NAME]`, in the order of the file.
    pub fn take_sections(&mut self, kind: &str) -> Vec<Section> {
        self.known.push(format!("{kind} NAME").into());
        let prefix = format!("{kind} ");
        let (taken, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.name().starts_with(&prefix));
        self.sections = rest;
        taken
    }

    /// Gives back a section that has been read; its unread keys become mistakes.
    pub fn finish_section(&mut self, section: Section) {
        self.mistakes.extend(section.finish());
    }

    /// Reports every mistake of the file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsErrors`] when there is at least one.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        for section in std::mem::take(&mut self.sections) {
            if self.known.iter().any(|known| **known == *section.name()) {
                continue;
            }
            let near = nearest(section.name(), self.known.iter().map(|known| &**known));
            let line = section.line();
            let section = section.name().into();
            self.mistake(line, SettingsErrorKind::UnknownSection { section, near });
        }
        if self.mistakes.is_empty() {
            return Ok(());
        }
        self.mistakes.sort_by_key(|mistake| mistake.line);
        Err(SettingsErrors(self.mistakes))
    }
}
