//! Checks that the table of log fields in docs/OPERATIONS.md names every field that the code writes.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let inner = folders.iter().flat_map(|folder| self::source_files(folder));
    files.into_iter().chain(inner).collect()
}

/// Returns the names of the fields in a log macro's arguments, which precede the message.
fn fields(call: &str) -> Vec<String> {
    let Some((head, _)) = call.split_once(';') else {
        return Vec::new();
    };
    let parts = head.split([',', '\n']).map(str::trim);
    let parts = parts.filter(|part| !part.starts_with("target"));
    let names = parts.map(|part| part.split([' ', '=']).next().unwrap_or_default());
    let is_field_name = |name: &&str| {
        let has_valid_bytes = name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
        has_valid_bytes && !name.is_empty()
    };
    names.filter(is_field_name).map(str::to_owned).collect()
}

#[test]
fn every_log_field_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/OPERATIONS.md")).unwrap();
    let mut written = BTreeSet::new();
    let source_folders = [root.join("src"), root.join("../crash/src")];
    for file in source_folders
        .iter()
        .flat_map(|folder| source_files(folder))
    {
        let text = fs::read_to_string(&file).unwrap();
        for call in text.split("log::").skip(1) {
            let level = call.split('!').next().unwrap_or_default();
            if ["info", "warn", "error", "debug"].contains(&level) {
                // The message is the last argument; a value before it may be a call of its own.
                let end = call.find("\")").unwrap_or(call.len());
                written.extend(fields(&call[..end]));
            }
        }
    }

    let missing: Vec<_> = written
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();

    // A field with the name of a common one hid which part of the program had written 2,652 lines in a day.
    for common in logs::COMMON_FIELDS {
        assert!(
            !written.contains(common),
            "{common} is a field of every line"
        );
    }
    assert!(written.len() > 30, "{written:?}");
    assert!(missing.is_empty(), "{missing:?}");
}
