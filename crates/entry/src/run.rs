//! Serves until told to leave.

use args::ParsedArgs;
use eyre::bail;
use serve::RunningInstance;

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are wrong, the instance cannot start, or requests were cut
/// off when it left.
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
