//! `snipeway contract apply`, and the parts shared with `amend`.

use std::time::Duration;

use args::ParsedArgs;
use contract::Contract;
use contract::ini::LineDiff;
use operate::ApplyOutcome;
use operate::Settings;

use crate::error::CommandError;

/// Applies the contract of a file.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let file = &parsed.operands[0];
    let contract = contract::ini::parse(file, &conf::load(file)?)?;
    apply(parsed, &settings, None, contract).await
}

/// Applies a contract on top of revision `base`, or of the current one, and prints the outcome. Follows the options
/// `--dry-run`, `--who` and `--wait`.
pub(crate) async fn apply(
    parsed: &ParsedArgs,
    settings: &Settings,
    base: Option<i64>,
    contract: Contract,
) -> eyre::Result<()> {
    let contracts = super::contracts(settings);
    if parsed.has("dry-run") {
        print_diff(&contracts.plan(&contract).await?);
        return Ok(());
    }
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".into());
    let operator = parsed.value("who").unwrap_or(&user);
    let customer = contract.customer.to_string();
    match contracts.apply(operator, base, contract).await? {
        ApplyOutcome::InForce(rev) => {
            args::print_line!("in force at the platform at revision {rev}");
            wait_in_force(parsed, settings, rev).await
        }
        ApplyOutcome::Unchanged(rev) => {
            args::print_line!("unchanged at revision {rev}");
            wait_in_force(parsed, settings, rev).await
        }
        ApplyOutcome::Replaced(rev) => {
            args::print_line!(
                "took effect, and was replaced since; the contract is at revision {rev}"
            );
            Ok(())
        }
        ApplyOutcome::Conflict { rev, theirs } => {
            args::print_line!("another change came first:");
            print_diff(&theirs);
            Err(CommandError::Conflict(rev).into())
        }
        ApplyOutcome::Indeterminate { change } => {
            Err(CommandError::Indeterminate(customer, change).into())
        }
    }
}

/// Prints the differences between two contracts.
pub(crate) fn print_diff(diff: &[LineDiff]) {
    if diff.is_empty() {
        args::print_line!("no difference");
    }
    for line in diff {
        if let Some(before) = &line.before {
            args::print_line!("- {before}");
        }
        if let Some(after) = &line.after {
            args::print_line!("+ {after}");
        }
    }
}

/// With `--wait`, waits until a revision is in force on all instances.
async fn wait_in_force(parsed: &ParsedArgs, settings: &Settings, rev: i64) -> eyre::Result<()> {
    let Some(seconds) = parsed.get::<u64>("wait", "a number of seconds")? else {
        return Ok(());
    };
    let fleet = super::fleet(settings);
    let status = fleet.wait_in_force(rev, Duration::from_secs(seconds)).await;
    let join = |names: &[kernel::Name]| {
        let names: Vec<_> = names.iter().map(ToString::to_string).collect();
        names.join(", ")
    };
    args::print_line!("in force on: {}", join(&status.in_force));
    if status.behind.is_empty() && status.unanswered.is_empty() {
        return Ok(());
    }
    let (behind, unanswered) = (join(&status.behind), join(&status.unanswered));
    Err(CommandError::Behind { behind, unanswered }.into())
}
