//! Tests of the files that are shipped: samples, man pages, completions.

use std::path::Path;
use std::path::PathBuf;

use yare::parameterized;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn text(file: &str) -> String {
    std::fs::read_to_string(root().join(file)).unwrap()
}

#[parameterized(
    entry = { "etc/entry.ini" },
    second = { "etc/entry-syd.ini" },
)]
fn sample_settings_of_entries_are_good(file: &str) {
    serve::settings::read(file, &text(file)).unwrap();
}

#[test]
fn the_other_sample_settings_are_good() {
    operate::settings::read("operator", &text("etc/operator.ini")).unwrap();
    standin::settings::read("standin", &text("etc/standin.ini")).unwrap();
    load::settings::read("load", &text("etc/load.ini")).unwrap();
}

#[parameterized(
    portal = { "etc/contracts/portal.ini", "demo-portal" },
    staff = { "etc/contracts/staff.ini", "demo-staff" },
)]
fn sample_contracts_are_good(file: &str, token: &str) {
    let contract = contract::ini::parse(file, &text(file)).unwrap();

    assert_eq!(contract.token_digest, contract::TokenDigest::of(token));
}

// Symptom: a man page or completion does not know an option that the program has.
// Sequence: an option is added; the files that follow from the table are not written again.
// Cause: committed files that nothing compares. Write them with `snipeway generate .`.
#[test]
fn man_pages_and_completions_are_those_of_the_tables() {
    for spec in snipeway::SPECS {
        let program = spec.program;
        let files = [
            (format!("man/{program}.1"), args::man::man(spec)),
            (
                format!("completions/{program}.bash"),
                args::complete::bash(spec),
            ),
            (format!("completions/_{program}"), args::complete::zsh(spec)),
            (
                format!("completions/{program}.fish"),
                args::complete::fish(spec),
            ),
        ];
        for (file, expected) in files {
            assert_eq!(text(&file), expected, "{file}");
        }
    }
}

#[test]
fn every_key_of_an_entry_is_in_the_readme() {
    let readme = text("README.md");
    for line in text("etc/entry.ini").lines() {
        let key = line.trim_start_matches("; ").split(" = ").next().unwrap();
        let is_key = line.contains(" = ") && key.bytes().all(|b| b.is_ascii_lowercase());
        if is_key {
            assert!(
                readme.contains(&format!("`{key}`")),
                "{key} is not in README.md"
            );
        }
    }
}
