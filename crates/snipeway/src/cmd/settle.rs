//! `snipeway contract settle`.

use args::ParsedArgs;
use kernel::Name;
use operate::ApplyOutcome;

use crate::error::CommandError;

/// Shows whether a change took effect whose outcome was unknown.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let change = &parsed.operands[1];
    match super::contracts(&settings)
        .settle(&customer, change)
        .await?
    {
        ApplyOutcome::InForce(rev) => args::print_line!("in force at revision {rev}"),
        ApplyOutcome::Replaced(rev) => {
            args::print_line!("took effect; replaced since, at revision {rev} now")
        }
        _ => {
            return Err(
                CommandError::Indeterminate(customer.to_string(), change.as_str().into()).into(),
            );
        }
    }
    Ok(())
}
