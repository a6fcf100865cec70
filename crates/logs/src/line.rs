//! Formats an event as one line.

use std::fmt::Write;

use jiff::Timestamp;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

use serde_json::Value as Json;

/// The fields of every line: time, level, target and message. An event's own fields must not use
/// these names.
pub const COMMON_FIELDS: [&str; 4] = ["at", "level", "from", "what"];

/// The own fields of an event, in the order in which they were given.
#[derive(Default)]
struct Fields(Vec<(String, Json)>);

/// Converts a value to JSON, with numbers as numbers so that tools can sort and sum them.
fn to_json(value: &Value<'_>) -> Json {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    match (value.to_f64(), value.to_bool()) {
        (Some(number), _) => number.into(),
        (None, Some(boolean)) => boolean.into(),
        (None, None) => value.to_string().into(),
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), to_json(&value)));
        Ok(())
    }
}

fn collect_fields(record: &Record<'_>) -> Vec<(String, Json)> {
    let mut fields = Fields::default();
    // `visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    let common = [
        Timestamp::now().to_string(),
        record.level().as_str().to_lowercase(),
        record.target().to_owned(),
        record.args().to_string(),
    ];
    let common = COMMON_FIELDS.iter().zip(common);
    let common = common.map(|(name, text)| ((*name).to_owned(), Json::String(text)));
    common.chain(fields.0).collect()
}

/// Returns whether `pairs` can write the value without quotes.
fn is_plain(value: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    !value.is_empty() && value.chars().all(plain)
}

/// Formats an event as `key=value` pairs. A value is quoted and escaped if it is empty or contains
/// blanks, quotes, `=`, backslashes, control or non-ASCII characters, so that no value can be
/// mistaken for another field or another line.
pub fn pairs(record: &Record<'_>) -> String {
    let mut line = String::new();
    for (key, value) in collect_fields(record) {
        let value = match value {
            Json::String(text) => text,
            other => other.to_string(),
        };
        let gap = if line.is_empty() { "" } else { " " };
        let _ = match is_plain(&value) {
            true => write!(line, "{gap}{key}={value}"),
            false => write!(line, "{gap}{key}={value:?}"),
        };
    }
    line
}

/// Formats an event as one JSON object.
pub fn json(record: &Record<'_>) -> String {
    Json::Object(collect_fields(record).into_iter().collect()).to_string()
}
