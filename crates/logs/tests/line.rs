//! Tests of the formats of log lines.

use log::Level;
use log::Record;
use yare::parameterized;

/// Formats a record whose field `contract` has the given value.
fn format_record(value: &str, format: impl FnOnce(&Record<'_>) -> String) -> String {
    let pairs = [("contract", value)];
    let record = Record::builder()
        .level(Level::Info)
        .target("entry")
        .args(format_args!("request served"))
        .key_values(&pairs)
        .build();
    format(&record)
}

// Guards against forged log lines: a caller sends a value that contains a line break and the text
// of another event, and it is written without escaping.
#[parameterized(
    plain = { "aarhus", "contract=aarhus" },
    blank = { "a b", "contract=\"a b\"" },
    empty = { "", "contract=\"\"" },
    forged = { "a\nlevel=error", "contract=\"a\\nlevel=error\"" },
)]
fn values_cannot_forge_lines(value: &str, expected: &str) {
    let line = format_record(value, logs::pairs);

    assert!(line.ends_with(expected), "{line}");
    assert_eq!(line.lines().count(), 1);
}

#[test]
fn json_is_one_object_per_line() {
    let line = format_record("a\n\"b\"", logs::json);

    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["contract"], "a\n\"b\"");
    assert_eq!(value["what"], "request served");
    assert_eq!(line.lines().count(), 1);
}

// Guards against numbers written as text, such as request times, which tools then cannot sort or
// sum.
#[test]
fn numbers_stay_numbers() {
    let pairs = [
        ("took_ms", log::kv::Value::from(17_u64)),
        ("revision", log::kv::Value::from(-1_i64)),
        ("whole", log::kv::Value::from(true)),
        ("id", log::kv::Value::from("17")),
    ];
    let record = Record::builder().key_values(&pairs).build();

    let value: serde_json::Value = serde_json::from_str(&logs::json(&record)).unwrap();

    assert_eq!(value["took_ms"], 17);
    assert_eq!(value["revision"], -1);
    assert_eq!(value["whole"], true);
    assert_eq!(value["id"], "17");
}
