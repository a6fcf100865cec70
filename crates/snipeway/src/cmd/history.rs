//! `snipeway contract history`, and the parts shared with `audit`.

use args::ParsedArgs;
use contract::Audit;
use jiff::Timestamp;
use kernel::Name;

/// Shows all changes of a contract.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let customer: Name = parsed.operands[0].parse()?;
    let trail = super::contracts(&settings).audit(Some(&customer)).await?;
    trail
        .iter()
        .for_each(|(rev, audit)| print_change(*rev, audit));
    Ok(())
}

/// Prints one change and the lines that it changed.
pub(crate) fn print_change(rev: i64, audit: &Audit) {
    let time = Timestamp::from_millisecond(audit.at as i64);
    let time = time.map_or_else(|_| audit.at.to_string(), |time| time.to_string());
    args::print_line!(
        "revision {rev} on {}: {} by {} at {time} (change {})",
        audit.base_revision,
        audit.after.customer,
        audit.operator,
        audit.change
    );
    for line in contract::ini::diff(audit.before.as_ref(), &audit.after) {
        if let Some(before) = line.before {
            args::print_line!("  - {before}");
        }
        if let Some(after) = line.after {
            args::print_line!("  + {after}");
        }
    }
}
