//! Tests of the files shipped with the programs: sample settings and contracts, man pages and completions.

use std::path::Path;
use std::path::PathBuf;

use yare::parameterized;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(file: &str) -> String {
    std::fs::read_to_string(workspace_root().join(file)).unwrap()
}

#[parameterized(
    entry = { "etc/entry.ini" },
    second = { "etc/entry-syd.ini" },
)]
fn sample_settings_of_entries_are_valid(file: &str) {
    serve::settings::read(file, &read(file)).unwrap();
}

#[test]
fn other_sample_settings_are_valid() {
    operate::settings::read("operator", &read("etc/operator.ini")).unwrap();
    standin::settings::read("standin", &read("etc/standin.ini")).unwrap();
    load::settings::read("load", &read("etc/load.ini")).unwrap();
}

#[parameterized(
    portal = { "etc/contracts/portal.ini", "demo-portal" },
    staff = { "etc/contracts/staff.ini", "demo-staff" },
)]
fn sample_contracts_are_valid(file: &str, token: &str) {
    let contract = contract::ini::parse(file, &read(file)).unwrap();

    assert_eq!(contract.token_digest, contract::TokenDigest::of(token));
}

// Guards against man pages and completions that lack an option of the program, because the committed files were not
// generated again after the option was added. Generate them with `snipeway generate .`.
#[test]
fn man_pages_and_completions_match_the_specifications() {
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
            assert_eq!(read(&file), expected, "{file}");
        }
    }
}

#[test]
fn every_key_of_an_entry_is_in_the_readme() {
    let readme = read("README.md");
    for line in read("etc/entry.ini").lines() {
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
