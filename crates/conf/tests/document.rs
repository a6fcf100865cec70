//! Tests of the settings reader.

use conf::Document;
use conf::DurationMs;
use conf::List;
use yare::parameterized;

/// Reads the keys of a small program and returns the report.
fn report(text: &str) -> String {
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
        .map_or_else(String::new, |m| m.to_string())
}

const GOOD: &str = "[entry]\nlisten = 127.0.0.1:1\n";

#[parameterized(
    good = { "", "" },
    comment = { "; a\n# b\n\nqueue = 3", "" },
    unknown_key = { "queu = 3", "a.ini:3: unknown key \"queu\" in [entry]; did you mean \"queue\"?" },
    far_key = { "zzz = 3", "a.ini:3: unknown key \"zzz\" in [entry]" },
    bad_value = { "queue = many", "a.ini:3: queue of [entry]: expected a number of requests, found \"many\"" },
    twice = { "queue = 1\nqueue = 2", "a.ini:4: key \"queue\" of [entry] is already on line 3" },
    syntax = { "queue", "a.ini:3: expected `[section]`, `key = value` or a comment, found \"queue\"" },
    section = { "[entri]", "a.ini:3: unknown section [entri]; did you mean \"entry\"?" },
    twice_section = { "[entry]", "a.ini:3: section [entry] is already on line 1" },
    missing = { "[upstream a]", "a.ini:3: [upstream a] needs the key \"port\": a port" },
)]
fn mistakes_name_file_line_and_key(more: &str, expected: &str) {
    let text = format!("{GOOD}{more}");

    assert_eq!(report(&text), expected);
}

#[test]
fn all_mistakes_are_reported_at_once() {
    let got = report("x = 1\n[entry]\nlisten = here\nqueue = -1\n");

    assert_eq!(got.lines().count(), 3);
}

#[parameterized(
    millis = { "250ms", Some(250) },
    hours = { "24h", Some(86_400_000) },
    no_unit = { "3", None },
    huge = { "99999999999999999999h", None },
    overflow = { "9999999999999999h", None },
    negative = { "-3s", None },
)]
fn spans(text: &str, expected: Option<u64>) {
    assert_eq!(text.parse::<DurationMs>().ok().map(|span| span.0), expected);
}

#[test]
fn lists_skip_blanks() {
    let list: List<u8> = "1, 2,,3".parse().unwrap();

    assert_eq!(list.0, [1, 2, 3]);
}
