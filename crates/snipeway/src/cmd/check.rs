//! `snipeway contract check`.

use args::ParsedArgs;
use conf::SettingsErrors;

/// Checks all files and reports the errors of all of them.
pub(crate) fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let mut errors = Vec::new();
    for file in &parsed.operands {
        match contract::ini::parse(file, &conf::load(file)?) {
            Ok(contract) => args::print_line!("{file}: good, for {}", contract.customer),
            Err(found) => errors.extend(found.0),
        }
    }
    if errors.is_empty() {
        return Ok(());
    }
    Err(SettingsErrors(errors).into())
}
