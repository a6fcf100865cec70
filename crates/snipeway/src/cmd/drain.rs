//! `snipeway drain`.

use args::ParsedArgs;

use crate::error::CommandError;

/// Tells an instance to leave gracefully.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let name = &parsed.operands[0];
    match super::fleet(&settings).drain(name).await {
        None => Err(CommandError::Instance(name.clone()).into()),
        Some(Err(error)) => Err(CommandError::Asked(name.clone(), error).into()),
        Some(Ok(())) => {
            args::print_line!("{name} is leaving");
            Ok(())
        }
    }
}
