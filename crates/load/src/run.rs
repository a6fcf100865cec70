//! Runs the callers or the trainers of the settings and prints their results.

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
/// Returns an error if the settings are invalid, or if a response or sample violated a guarantee.
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
    let mut mismatched = 0;
    let runs: Vec<_> = settings
        .callers
        .iter()
        .cloned()
        .map(|(name, callers)| tokio::spawn(async move { (name, callers.run().await) }))
        .collect();
    for run in runs {
        let (name, stats) = run.await?;
        mismatched += stats.mismatched;
        add_caller_rows(&mut table, &name, &stats);
    }
    args::output::write(format_args!("{table}"));
    if mismatched > 0 {
        bail!("{mismatched} answers were not the caller's own");
    }
    Ok(())
}

/// Adds the results of callers to a table.
pub fn add_caller_rows(table: &mut Table, name: &str, stats: &callers::CallerStats) {
    table.row(format!("{name} calls"), stats.sent);
    table.row(format!("{name} whole answers"), stats.completed);
    table.latency(&format!("{name} latency"), &stats.latency_us);
    table.row(format!("{name} refused, not run"), stats.not_run);
    table.row(format!("{name} refused, unknown"), stats.unknown);
    for (kind, count) in &stats.refusals {
        table.row(format!("{name} refused as {kind}"), count);
    }
}

async fn train(settings: &Settings) -> eyre::Result<()> {
    let mut table = Table::default();
    let mut violations = 0;
    let runs: Vec<_> = settings
        .trainers
        .iter()
        .cloned()
        .map(|(name, trainer)| tokio::spawn(async move { (name, trainer.run().await) }))
        .collect();
    for run in runs {
        let (name, stats) = run.await?;
        violations += stats.violations();
        add_trainer_rows(&mut table, &name, &stats);
    }
    args::output::write(format_args!("{table}"));
    if violations > 0 {
        bail!("{violations} samples broke a promise");
    }
    Ok(())
}

/// Adds the results of a trainer to a table.
pub fn add_trainer_rows(table: &mut Table, name: &str, stats: &trainer::TrainerStats) {
    let idle_ratio = stats.idle.as_secs_f64() / stats.total.as_secs_f64().max(1e-9);
    table.row(format!("{name} steps whole"), stats.steps);
    table.row(format!("{name} samples"), stats.samples);
    table.row(
        format!("{name} samples with versions named"),
        stats.samples - stats.unversioned,
    );
    table.row(format!("{name} samples of several versions"), stats.mixed);
    table.row(format!("{name} samples doubled"), stats.duplicates);
    table.row(format!("{name} samples beyond the bound"), stats.stale);
    table.row(
        format!("{name} samples with a wrong text"),
        stats.mismatched,
    );
    let mean = format!("{:.2}", stats.staleness.mean());
    table.row(format!("{name} staleness, mean [versions]"), mean);
    table.row(
        format!("{name} staleness, p99 [versions]"),
        stats.staleness.value_at_quantile(0.99),
    );
    table.row(
        format!("{name} step until whole, p50 [ms]"),
        stats.step_ms.value_at_quantile(0.5),
    );
    table.row(
        format!("{name} step until whole, max [ms]"),
        stats.step_ms.max(),
    );
    let idle = format!(
        "{:.2} of {:.2} ({:.0}%)",
        stats.idle.as_secs_f64(),
        stats.total.as_secs_f64(),
        idle_ratio * 100.0
    );
    table.row(format!("{name} idle [s]"), idle);
    table.row(format!("{name} calls tried again"), stats.failures);
}
