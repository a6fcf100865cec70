//! `snipeway contract check`.

use args::ParsedArgs;
use conf::SettingsErrors;

/// Checks every file and reports every mistake of all of them.
pub(crate) fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let mut mistakes = Vec::new();
    for file in &parsed.operands {
        match contract::ini::parse(file, &conf::load(file)?) {
            Ok(contract) => args::print_line!("{file}: good, for {}", contract.customer),
            Err(found) => mistakes.extend(found.0),
        }
    }
    if mistakes.is_empty() {
        return Ok(());
    }
    Err(SettingsErrors(mistakes).into())
}
