//! `snipeway contract amend`.

use args::ParsedArgs;
use args::UsageError;
use kernel::Name;
use operate::contracts::ContractError;

/// Changes single lines of a contract.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let base = parsed.require::<i64>("rev", "a revision")?;
    let changes = parsed.operands[1..]
        .iter()
        .map(|text| parse_change(text))
        .collect::<Result<Vec<_>, _>>()?;
    let current = super::contracts(&settings).show(&customer).await?;
    let current = current.ok_or(ContractError::Missing(customer))?;
    let contract = contract::ini::amend(&current.stored.contract, &changes)?;
    super::apply::apply(parsed, &settings, Some(base), contract).await
}

fn parse_change(text: &str) -> Result<(String, String), UsageError> {
    match text.split_once('=') {
        Some((key, value)) => Ok((key.trim().into(), value.trim().into())),
        None => Err(UsageError::InvalidOperands(format!(
            "KEY=VALUE, found {text:?}"
        ))),
    }
}
