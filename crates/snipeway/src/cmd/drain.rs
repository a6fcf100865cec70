//! `snipeway drain`.

use args::ParsedArgs;

use crate::error::CommandError;

/// Orders an instance to drain and leave the fleet.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let name = &parsed.operands[0];
    match super::fleet(&settings).drain(name).await {
        None => Err(CommandError::UnknownInstance(name.clone()).into()),
        Some(Err(error)) => Err(CommandError::Query(name.clone(), error).into()),
        Some(Ok(())) => {
            args::print_line!("{name} is leaving");
            Ok(())
        }
    }
}
