//! `snipeway settings check`.

use args::ParsedArgs;
use args::UsageError;
use conf::SettingsErrors;

/// Checks all files and reports the errors of all of them.
pub(crate) fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let kind = parsed.value("kind").unwrap_or("entry");
    let mut errors = Vec::new();
    for file in &parsed.operands {
        match check(kind, file, &conf::load(file)?)? {
            Ok(()) => args::print_line!("{file}: good"),
            Err(found) => errors.extend(found.0),
        }
    }
    if errors.is_empty() {
        return Ok(());
    }
    Err(SettingsErrors(errors).into())
}

/// Checks a file. The outer error is that of an unknown kind, the inner one lists the errors of the file.
fn check(kind: &str, file: &str, text: &str) -> Result<Result<(), SettingsErrors>, UsageError> {
    Ok(match kind {
        "entry" => serve::settings::read(file, text).map(drop),
        "operator" => operate::settings::read(file, text).map(drop),
        "standin" => standin::settings::read(file, text).map(drop),
        "load" => load::settings::read(file, text).map(drop),
        "node" => node::settings::read(file, text).map(drop),
        other => {
            return Err(UsageError::InvalidValue {
                option: "kind",
                expected: "entry, operator, standin, load or node",
                found: other.into(),
            });
        }
    })
}
