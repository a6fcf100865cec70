//! `snipeway audit`.

use args::ParsedArgs;

/// Number of changes that are shown without `--last`.
const DEFAULT_LAST: usize = 20;

/// Shows the last changes of all contracts.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load_settings(parsed)?;
    let last = parsed.get("last", "a number")?.unwrap_or(DEFAULT_LAST);
    let trail = super::contracts(&settings).audit(None).await?;
    let skip = trail.len().saturating_sub(last);
    for (rev, audit) in &trail[skip..] {
        super::history::print_change(*rev, audit);
    }
    Ok(())
}
