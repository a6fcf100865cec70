//! Timeline of one request, sample, step or upstream, from the log lines of several processes.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Fields of every log line, which are not among the details of an event.
const COMMON_FIELDS: [&str; 4] = ["at", "level", "from", "what"];

/// Fields whose value is the ID of the subject of a log line.
const SUBJECT_FIELDS: [&str; 5] = ["id", "step", "upstream", "instance", "print"];

/// A log line that belongs to a timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time by the clock of the process that wrote the line.
    pub at: String,
    /// Name of the process; empty unless the log collector put it before the line.
    pub process: String,
    /// What happened.
    pub what: String,
    /// The other fields of the line, names and values.
    pub fields: Vec<(String, String)>,
}

/// A parsed log line.
struct LogLine {
    process: String,
    object: Map<String, Value>,
}

impl LogLine {
    /// Parses a line: a JSON object, optionally after words that a log collector puts before it.
    fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let object = serde_json::from_str(&line[start..]).ok()?;
        let words = line[..start].split_whitespace();
        let process = words.last().unwrap_or_default().to_owned();
        Some(Self { process, object })
    }

    fn text(&self, field: &str) -> &str {
        let value = self.object.get(field);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        SUBJECT_FIELDS.iter().any(|field| self.text(field) == id)
    }

    fn into_event(self) -> Event {
        let fields = self.object.iter();
        let fields = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        Event {
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

/// Collects the events of a request, sample, step or upstream from log lines, ordered by time.
///
/// The timeline of a sample includes the events of its step: who accepted it, took it over and ended it. Lines that are
/// not log lines are skipped.
///
/// # Examples
///
/// ```
/// let log = [
///     r#"e1 {"at":"2","from":"front","id":"r1","what":"answered","status":"503"}"#,
///     r#"e1 {"at":"1","from":"forward","id":"r1","what":"given up","why":"no upstream"}"#,
///     "something else",
/// ];
/// let events = operate::timeline::collect("r1", log.iter().copied());
/// assert_eq!(events.len(), 2);
/// assert_eq!(events[0].what, "given up");
/// ```
pub fn collect<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Event> {
    let lines: Vec<_> = lines.filter_map(LogLine::parse).collect();
    let steps: BTreeSet<String> = lines
        .iter()
        .filter(|line| line.text("id") == id)
        .map(|line| line.text("step").to_owned())
        .filter(|step| !step.is_empty())
        .collect();
    let mut events: Vec<_> = lines
        .into_iter()
        .filter(|line| line.is_about(id) || steps.contains(line.text("id")))
        .map(LogLine::into_event)
        .collect();
    events.sort_by(|a, b| a.at.cmp(&b.at));
    events
}
