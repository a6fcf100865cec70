//! `snipeway contract apply`, and what it shares with `amend`.

use std::time::Duration;

use args::ParsedArgs;
use contract::Contract;
use contract::ini::LineDiff;
use operate::ApplyOutcome;
use operate::Settings;

use crate::error::CommandError;

/// Applies the contract of a file.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let file = &parsed.operands[0];
    let contract = contract::ini::parse(file, &conf::load(file)?)?;
    change(parsed, &settings, None, contract).await
}

/// Changes a contract as the options say.
pub(crate) async fn change(
    parsed: &ParsedArgs,
    settings: &Settings,
    base: Option<i64>,
    contract: Contract,
) -> eyre::Result<()> {
    let contracts = super::contracts(settings);
    if parsed.has("dry-run") {
        print(&contracts.plan(&contract).await?);
        return Ok(());
    }
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".into());
    let who = parsed.value("who").unwrap_or(&user);
    let customer = contract.customer.to_string();
    match contracts.apply(who, base, contract).await? {
        ApplyOutcome::InForce(rev) => {
            args::print_line!("in force at the platform at revision {rev}");
            wait(parsed, settings, rev).await
        }
        ApplyOutcome::Unchanged(rev) => {
            args::print_line!("unchanged at revision {rev}");
            wait(parsed, settings, rev).await
        }
        ApplyOutcome::Replaced(rev) => {
            args::print_line!(
                "took effect, and was replaced since; the contract is at revision {rev}"
            );
            Ok(())
        }
        ApplyOutcome::Conflict { rev, theirs } => {
            args::print_line!("another change came first:");
            print(&theirs);
            Err(CommandError::Conflict(rev).into())
        }
        ApplyOutcome::Indeterminate { change } => {
            Err(CommandError::NotKnown(customer, change).into())
        }
    }
}

/// Prints a difference.
pub(crate) fn print(diff: &[LineDiff]) {
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

async fn wait(parsed: &ParsedArgs, settings: &Settings, rev: i64) -> eyre::Result<()> {
    let Some(seconds) = parsed.get::<u64>("wait", "a number of seconds")? else {
        return Ok(());
    };
    let fleet = super::fleet(settings);
    let status = fleet.wait_in_force(rev, Duration::from_secs(seconds)).await;
    let names = |names: &[kernel::Name]| {
        let names: Vec<_> = names.iter().map(ToString::to_string).collect();
        names.join(", ")
    };
    args::print_line!("in force on: {}", names(&status.in_force));
    if status.behind.is_empty() && status.unanswered.is_empty() {
        return Ok(());
    }
    let (behind, silent) = (names(&status.behind), names(&status.unanswered));
    Err(CommandError::Behind { behind, silent }.into())
}
