//! Sends what the settings say.

use args::ParsedArgs;
use eyre::bail;

use crate::Table;
use crate::callers;
use crate::settings;
use crate::settings::Settings;
use crate::trainer;

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are wrong or a promise was broken.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let file: String = parsed.require("config", "a file")?;
    let settings = settings::read(&file, &conf::load(&file)?)?;
    logs::init(&logs::Settings::default())?;
    args::program::block_on(async move {
        match parsed.cmd {
            "call" => call(&settings).await,
            _ => train(&settings).await,
        }
    })
}

async fn call(settings: &Settings) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut foreign = 0;
    let runs: Vec<_> = settings
        .callers
        .iter()
        .cloned()
        .map(|(name, callers)| tokio::spawn(async move { (name, callers.run().await) }))
        .collect();
    for run in runs {
        let (name, seen) = run.await?;
        foreign += seen.foreign;
        callers_rows(&mut table, &name, &seen);
    }
    args::output::write(format_args!("{table}"));
    if foreign > 0 {
        bail!("{foreign} answers were not the caller's own");
    }
    Ok(())
}

/// Adds what callers saw to a table.
pub fn callers_rows(table: &mut Table, name: &str, seen: &callers::Seen) {
    table.row(format!("{name} calls"), seen.sent);
    table.row(format!("{name} whole answers"), seen.whole);
    table.latency(&format!("{name} latency"), &seen.micros);
    table.row(format!("{name} refused, not run"), seen.not_run);
    table.row(format!("{name} refused, unknown"), seen.unknown);
    for (kind, count) in &seen.kinds {
        table.row(format!("{name} refused as {kind}"), count);
    }
}

async fn train(settings: &Settings) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut broken = 0;
    let runs: Vec<_> = settings
        .trainers
        .iter()
        .cloned()
        .map(|(name, trainer)| tokio::spawn(async move { (name, trainer.run().await) }))
        .collect();
    for run in runs {
        let (name, seen) = run.await?;
        broken += seen.broken();
        trainer_rows(&mut table, &name, &seen);
    }
    args::output::write(format_args!("{table}"));
    if broken > 0 {
        bail!("{broken} samples broke a promise");
    }
    Ok(())
}

/// Adds what a trainer saw to a table.
pub fn trainer_rows(table: &mut Table, name: &str, seen: &trainer::Seen) {
    let part = seen.idle.as_secs_f64() / seen.all.as_secs_f64().max(1e-9);
    table.row(format!("{name} steps whole"), seen.steps);
    table.row(format!("{name} samples"), seen.samples);
    table.row(
        format!("{name} samples with versions named"),
        seen.samples - seen.unnamed,
    );
    table.row(format!("{name} samples of several versions"), seen.mixed);
    table.row(format!("{name} samples doubled"), seen.doubled);
    table.row(format!("{name} samples beyond the bound"), seen.stale);
    table.row(format!("{name} samples with a wrong text"), seen.wrong);
    let mean = format!("{:.2}", seen.staleness.mean());
    table.row(format!("{name} staleness, mean [versions]"), mean);
    table.row(
        format!("{name} staleness, p99 [versions]"),
        seen.staleness.value_at_quantile(0.99),
    );
    table.row(
        format!("{name} step until whole, p50 [ms]"),
        seen.whole.value_at_quantile(0.5),
    );
    table.row(
        format!("{name} step until whole, max [ms]"),
        seen.whole.max(),
    );
    let idle = format!(
        "{:.2} of {:.2} ({:.0}%)",
        seen.idle.as_secs_f64(),
        seen.all.as_secs_f64(),
        part * 100.0
    );
    table.row(format!("{name} idle [s]"), idle);
    table.row(format!("{name} calls tried again"), seen.failures);
}
