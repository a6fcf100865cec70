//! `snipeway contract amend`.

use args::ParsedArgs;
use args::UsageError;
use kernel::Name;
use operate::contracts::ContractError;

/// Changes lines of a contract.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let base = parsed.require::<i64>("rev", "a revision")?;
    let changes = parsed.operands[1..]
        .iter()
        .map(|text| pair(text))
        .collect::<Result<Vec<_>, _>>()?;
    let held = super::contracts(&settings).show(&customer).await?;
    let held = held.ok_or(ContractError::Missing(customer))?;
    let contract = contract::ini::amend(&held.stored.contract, &changes)?;
    super::apply::change(parsed, &settings, Some(base), contract).await
}

fn pair(text: &str) -> Result<(String, String), UsageError> {
    match text.split_once('=') {
        Some((key, value)) => Ok((key.trim().into(), value.trim().into())),
        None => Err(UsageError::InvalidOperands(format!(
            "KEY=VALUE, found {text:?}"
        ))),
    }
}
