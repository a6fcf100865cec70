//! Settings of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use conf::Document;
use conf::DurationMs;
use conf::List;
use conf::Rate;
use conf::Section;
use conf::SettingsErrors;

use crate::Callers;
use crate::Trainer;

/// The callers and trainers to run.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Callers by name.
    pub callers: Vec<(String, Callers)>,
    /// Trainers by name.
    pub trainers: Vec<(String, Trainer)>,
}

/// Reads the settings of the load tool.
///
/// # Errors
///
/// Returns all errors of the file together.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let mut load = doc.take_section("load");
    let entries = load.require::<List<SocketAddr>>("entries", "addresses separated by commas");
    if entries.as_ref().is_some_and(|list| list.0.is_empty()) {
        load.report_invalid("entries", "at least one address");
    }
    doc.finish_section(load);
    let entries = entries.map(|list| list.0).unwrap_or_default();
    let mut settings = Settings::default();
    for mut section in doc.take_sections("callers") {
        let name = section.label().to_owned();
        let read = callers(&mut section, &entries);
        settings.callers.extend(read.map(|callers| (name, callers)));
        doc.finish_section(section);
    }
    for mut section in doc.take_sections("trainer") {
        let name = section.label().to_owned();
        let read = trainer(&mut section, &name, &entries);
        settings
            .trainers
            .extend(read.map(|trainer| (name, trainer)));
        doc.finish_section(section);
    }
    doc.finish()?;
    Ok(settings)
}

fn callers(s: &mut Section, entries: &[SocketAddr]) -> Option<Callers> {
    let token = s.require("token", "a bearer token");
    let path = s.require("path", "a path such as /v1/services/portal/size/{n}");
    let rate = s.get_or("rate", "calls a second", Rate(10.0)).0;
    let span = s.get_or("span", "a span of time", DurationMs(10_000)).0;
    let with_keys = s.get_or("once", "true or false", false);
    let timeout_ms = s.get_or("timeout", "a span of time", DurationMs(2_000)).0;
    let seed = s.get_or("seed", "a number", 1);
    if rate == 0.0 {
        s.report_invalid("rate", "more than 0 calls a second");
    }
    Some(Callers {
        entries: entries.to_vec(),
        token: token?,
        path: path?,
        rate,
        duration: Duration::from_millis(span),
        with_keys,
        timeout_ms,
        seed,
    })
}

fn trainer(s: &mut Section, name: &str, entries: &[SocketAddr]) -> Option<Trainer> {
    let token = s.require("token", "a bearer token");
    let model = s.require("model", "a name");
    Some(Trainer {
        entries: entries.to_vec(),
        token: token?,
        model: model?,
        groups: s.get_or("groups", "a number of groups", 16),
        samples: s.get_or("samples", "a number of samples", 4),
        max_tokens: s.get_or("tokens", "a number of tokens", 1_024),
        steps: s.get_or("steps", "a number of steps", 3),
        train_time: Duration::from_millis(s.get_or("train", "a span of time", DurationMs(1_000)).0),
        start_version: s.get_or("version", "a weight version", 1),
        label: name.to_owned(),
        median_tokens: s.get_or("median", "a number of tokens", 0),
    })
}
