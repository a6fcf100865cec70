//! The forms of a line.

use std::fmt::Write;

use jiff::Timestamp;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

/// The fields of an event in the order in which they were given.
#[derive(Default)]
struct Fields(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Vec<(String, String)> {
    let mut fields = Fields::default();
    // `visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    let mut all = vec![
        ("at".to_owned(), Timestamp::now().to_string()),
        ("level".to_owned(), record.level().as_str().to_lowercase()),
        ("from".to_owned(), record.target().to_owned()),
        ("what".to_owned(), record.args().to_string()),
    ];
    all.extend(fields.0);
    all
}

fn is_plain(value: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    !value.is_empty() && value.chars().all(plain)
}

/// Writes an event as `key=value` pairs; a value with blanks, quotes or controls is quoted, so
/// that no value can pass for another field or another line.
pub fn pairs(record: &Record<'_>) -> String {
    let mut line = String::new();
    for (key, value) in fields(record) {
        let gap = if line.is_empty() { "" } else { " " };
        let _ = match is_plain(&value) {
            true => write!(line, "{gap}{key}={value}"),
            false => write!(line, "{gap}{key}={value:?}"),
        };
    }
    line
}

/// Writes an event as one JSON object.
pub fn json(record: &Record<'_>) -> String {
    let object: serde_json::Map<_, _> = fields(record)
        .into_iter()
        .map(|(key, value)| (key, serde_json::Value::String(value)))
        .collect();
    serde_json::Value::Object(object).to_string()
}
