//! Time until a changed contract is in force on 9 entries.

use std::time::Duration;
use std::time::Instant;

use load::Table;
use load::report::histogram;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Number of measured changes.
const CHANGES: u32 = 20;

fn rig_settings() -> RigConfig {
    RigConfig {
        domains: vec!["nord", "midt", "syd"],
        entries: 3,
        engines: 0,
        services: 1,
        contracts: vec![contracts::text("one", "")],
        ..RigConfig::default()
    }
}

/// Changes the contract's rate and returns the time until all entries have it.
async fn change_rate(rig: &Rig, rate: u32) -> eyre::Result<Duration> {
    let start = Instant::now();
    let text = contracts::text("one", &format!("rate = {rate}\n"));
    rig.apply(&[text]).await?;
    Ok(start.elapsed())
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let mut rig = Rig::start(&rig_settings()).await?;
    let mut millis = histogram();
    for index in 0..CHANGES {
        let elapsed = change_rate(&rig, 1_000 + index).await?;
        // Cannot fail: the histogram resizes itself.
        let _ = millis.record(elapsed.as_millis() as u64);
    }
    table.row(
        "9 entries, platform up: p50 [ms]",
        millis.value_at_quantile(0.5),
    );
    table.row("9 entries, platform up: max [ms]", millis.max());
    let elapsed = change_during_outage(&mut rig).await?;
    table.row(
        "9 entries, platform down once the first entry has the change: all [ms]",
        elapsed.as_millis(),
    );
    args::output::write(format_args!("{table}"));
    rig.shutdown().await
}

/// Changes the contract and makes the platform unavailable as soon as one entry has the change, so that the other
/// entries receive it from their peers. Returns the time until all entries have it.
async fn change_during_outage(rig: &mut Rig) -> eyre::Result<Duration> {
    let faults = rig.standins.platform.host.faults.clone();
    let start = Instant::now();
    let contract = contract::ini::parse("bench", &contracts::text("one", "rate = 7\n"))?;
    let applied = rig.contracts().apply("bench", None, contract).await?;
    let operate::ApplyOutcome::InForce(rev) = applied else {
        eyre::bail!("not applied: {applied:?}");
    };
    while !rig
        .running()
        .any(|entry| entry.app.newest_revision() >= rev)
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    faults.change(|fault| fault.down = true);
    rig.wait_for_revision(rev).await?;
    let elapsed = start.elapsed();
    faults.change(|fault| fault.down = false);
    Ok(elapsed)
}
