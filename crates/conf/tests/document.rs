//! Tests of parsing settings files and of the error messages.

use conf::Document;
use conf::DurationMs;
use conf::List;
use yare::parameterized;

/// Reads the settings of a sample program and returns the error messages, one a line.
fn error_messages(text: &str) -> String {
    let mut doc = Document::parse("a.ini", text);
    let mut entry = doc.take_section("entry");
    entry.require::<std::net::SocketAddr>("listen", "an IP address and a port");
    entry.get_or("queue", "a number of requests", 64_u32);
    entry.get_or("patience", "a span of time", DurationMs(5));
    doc.finish_section(entry);
    for mut upstream in doc.take_sections("upstream") {
        upstream.require::<u16>("port", "a port");
        doc.finish_section(upstream);
    }
    doc.finish()
        .err()
        .map_or_else(String::new, |errors| errors.to_string())
}

const VALID_SETTINGS: &str = "[entry]\nlisten = 127.0.0.1:1\n";

#[parameterized(
    valid = { "", "" },
    comment = { "; a\n# b\n\nqueue = 3", "" },
    unknown_key = { "queu = 3", "a.ini:3: unknown key \"queu\" in [entry]; did you mean \"queue\"?" },
    no_similar_key = { "zzz = 3", "a.ini:3: unknown key \"zzz\" in [entry]" },
    bad_value = { "queue = many", "a.ini:3: queue of [entry]: expected a number of requests, found \"many\"" },
    twice = { "queue = 1\nqueue = 2", "a.ini:4: key \"queue\" of [entry] is already on line 3" },
    syntax = { "queue", "a.ini:3: expected `[section]`, `key = value` or a comment, found \"queue\"" },
    unknown_section = { "[entri]", "a.ini:3: unknown section [entri]; did you mean \"entry\"?" },
    twice_section = { "[entry]", "a.ini:3: section [entry] is already on line 1" },
    missing = { "[upstream a]", "a.ini:3: [upstream a] needs the key \"port\": a port" },
)]
fn errors_include_file_line_and_key(added: &str, expected: &str) {
    let text = format!("{VALID_SETTINGS}{added}");

    assert_eq!(error_messages(&text), expected);
}

#[test]
fn all_errors_are_reported_at_once() {
    let messages = error_messages("x = 1\n[entry]\nlisten = here\nqueue = -1\n");

    assert_eq!(messages.lines().count(), 3);
}

#[parameterized(
    millis = { "250ms", Some(250) },
    hours = { "24h", Some(86_400_000) },
    no_unit = { "3", None },
    number_overflow = { "99999999999999999999h", None },
    unit_overflow = { "9999999999999999h", None },
    negative = { "-3s", None },
)]
fn durations_parse_with_unit(text: &str, expected: Option<u64>) {
    assert_eq!(
        text.parse::<DurationMs>().ok().map(|duration| duration.0),
        expected
    );
}

#[test]
fn lists_skip_blank_elements() {
    let list: List<u8> = "1, 2,,3".parse().unwrap();

    assert_eq!(list.0, [1, 2, 3]);
}
