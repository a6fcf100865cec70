//! Tests of log lines.

use log::Level;
use log::Record;
use yare::parameterized;

fn with(value: &str, f: impl FnOnce(&Record<'_>) -> String) -> String {
    let pairs = [("contract", value)];
    let record = Record::builder()
        .level(Level::Info)
        .target("entry")
        .args(format_args!("request served"))
        .key_values(&pairs)
        .build();
    f(&record)
}

// Symptom: a line in the log that nobody wrote.
// Sequence: a caller sends a value with a line break and the text of another event.
// Cause: values written as they come.
#[parameterized(
    plain = { "aarhus", "contract=aarhus" },
    blank = { "a b", "contract=\"a b\"" },
    empty = { "", "contract=\"\"" },
    forged = { "a\nlevel=error", "contract=\"a\\nlevel=error\"" },
)]
fn values_cannot_forge_lines(value: &str, expected: &str) {
    let line = with(value, logs::pairs);

    assert!(line.ends_with(expected), "{line}");
    assert_eq!(line.lines().count(), 1);
}

#[test]
fn json_is_one_object_a_line() {
    let line = with("a\n\"b\"", logs::json);

    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["contract"], "a\n\"b\"");
    assert_eq!(value["what"], "request served");
    assert_eq!(line.lines().count(), 1);
}
