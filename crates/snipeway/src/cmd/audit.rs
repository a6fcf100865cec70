//! `snipeway audit`.

use args::ParsedArgs;

/// Changes that are shown unless the options say otherwise.
const LAST: usize = 20;

/// Shows the last changes of all contracts.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let settings = super::load(parsed)?;
    let last = parsed.get("last", "a number")?.unwrap_or(LAST);
    let trail = super::contracts(&settings).audit(None).await?;
    let skip = trail.len().saturating_sub(last);
    for (rev, audit) in &trail[skip..] {
        super::history::print(*rev, audit);
    }
    Ok(())
}
