//! The story of one request, sample, step or upstream, from the log lines of several processes.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Fields that stand in every line and say nothing of its matter.
const COMMON: [&str; 4] = ["at", "level", "from", "what"];

/// Fields whose value names what a line is about.
const ABOUT: [&str; 5] = ["id", "step", "upstream", "instance", "print"];

/// A line that belongs to a story.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When, as the process that wrote it has it.
    pub at: String,
    /// The process, when the reader of its output has put its name before the line.
    pub process: String,
    /// What happened.
    pub what: String,
    /// What decided it.
    pub fields: Vec<(String, String)>,
}

/// A line as it was read.
struct Read {
    process: String,
    object: Map<String, Value>,
}

impl Read {
    /// Reads a line: one JSON object, perhaps behind words that a collector of logs puts before it.
    fn parse(line: &str) -> Option<Self> {
        let at = line.find('{')?;
        let object = serde_json::from_str(&line[at..]).ok()?;
        let words = line[..at].split_whitespace();
        let process = words.last().unwrap_or_default().to_owned();
        Some(Self { process, object })
    }

    fn text(&self, field: &str) -> &str {
        let value = self.object.get(field);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        ABOUT.iter().any(|field| self.text(field) == id)
    }

    fn into_line(self) -> Line {
        let fields = self.object.iter();
        let fields = fields.filter(|(name, _)| !COMMON.contains(&name.as_str()));
        Line {
            at: self.text("at").to_owned(),
            what: self.text("what").to_owned(),
            fields: fields
                .map(|(name, value)| {
                    let text = value.as_str().map(str::to_owned);
                    (name.clone(), text.unwrap_or_else(|| value.to_string()))
                })
                .collect(),
            process: self.process,
        }
    }
}

/// Tells the story of something from log lines, in the order of their times.
///
/// For a sample it also tells what became of its step: who accepted it, took it over and ended it.
/// Lines that are no log lines are passed over.
///
/// # Examples
///
/// ```
/// let log = [
///     r#"e1 {"at":"2","from":"front","id":"r1","what":"answered","status":"503"}"#,
///     r#"e1 {"at":"1","from":"forward","id":"r1","what":"given up","why":"no upstream"}"#,
///     "something else",
/// ];
/// let story = operate::story::tell("r1", log.iter().copied());
/// assert_eq!(story.len(), 2);
/// assert_eq!(story[0].what, "given up");
/// ```
pub fn tell<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Line> {
    let lines: Vec<_> = lines.filter_map(Read::parse).collect();
    let steps: BTreeSet<String> = lines
        .iter()
        .filter(|line| line.text("id") == id)
        .map(|line| line.text("step").to_owned())
        .filter(|step| !step.is_empty())
        .collect();
    let mut story: Vec<_> = lines
        .into_iter()
        .filter(|line| line.is_about(id) || steps.contains(line.text("id")))
        .map(Read::into_line)
        .collect();
    story.sort_by(|a, b| a.at.cmp(&b.at));
    story
}
