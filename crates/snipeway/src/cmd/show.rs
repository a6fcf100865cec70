//! `snipeway contract show`.

use args::ParsedArgs;
use kernel::Name;
use operate::contracts::ContractError;

/// Shows a contract in the format of the files that `contract apply` reads.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let current = super::contracts(&settings).show(&customer).await?;
    let current = current.ok_or(ContractError::Missing(customer))?;
    args::print_line!(
        "; revision {}, change {}",
        current.rev,
        current.stored.change
    );
    args::output::write(format_args!(
        "{}",
        contract::ini::render(&current.stored.contract)
    ));
    Ok(())
}
