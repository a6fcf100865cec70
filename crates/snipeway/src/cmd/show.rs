//! `snipeway contract show`.

use args::ParsedArgs;
use kernel::Name;
use operate::contracts::ContractError;

/// Shows a contract in the form in which it is applied.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let held = super::contracts(&settings).show(&customer).await?;
    let held = held.ok_or(ContractError::Missing(customer))?;
    args::print_line!("; revision {}, change {}", held.rev, held.stored.change);
    args::output::write(format_args!(
        "{}",
        contract::ini::render(&held.stored.contract)
    ));
    Ok(())
}
