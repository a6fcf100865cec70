//! Runs the server until a signal or an operator starts its shutdown.

use args::ParsedArgs;
use eyre::bail;
use serve::RunningInstance;

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are not valid, the instance can't start, or requests were still running at
/// the end of the grace period.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let file: String = parsed.require("config", "a file")?;
    let settings = serve::settings::read(&file, &conf::load(&file)?)?;
    if parsed.has("check") {
        args::print_line!("{file}: good");
        return Ok(());
    }
    logs::init(&settings.logs)?;
    args::program::block_on(async {
        let running = RunningInstance::start(settings).await?;
        if !running.run_until_stopped().await {
            bail!("requests were cut off at the end of the grace period");
        }
        Ok(())
    })
}
