//! Time until a contract is in force on 9 entries.

use std::time::Duration;
use std::time::Instant;

use load::Table;
use load::report::histogram;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Changes of each part.
const CHANGES: u32 = 20;

fn make() -> RigConfig {
    RigConfig {
        domains: vec!["nord", "midt", "syd"],
        entries: 3,
        engines: 0,
        services: 1,
        contracts: vec![contracts::text("one", "")],
        ..RigConfig::default()
    }
}

async fn change(rig: &Rig, rate: u32) -> eyre::Result<Duration> {
    let start = Instant::now();
    let text = contracts::text("one", &format!("rate = {rate}\n"));
    rig.apply(&[text]).await?;
    Ok(start.elapsed())
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let mut rig = Rig::start(&make()).await?;
    let mut millis = histogram();
    for turn in 0..CHANGES {
        let took = change(&rig, 1_000 + turn).await?;
        // The histogram grows by itself, so a value is never out of its range.
        let _ = millis.record(took.as_millis() as u64);
    }
    table.row(
        "9 entries, platform up: p50 [ms]",
        millis.value_at_quantile(0.5),
    );
    table.row("9 entries, platform up: max [ms]", millis.max());
    let took = outage(&mut rig).await?;
    table.row(
        "platform down right after the first entry has it: all [ms]",
        took.as_millis(),
    );
    args::output::write(format_args!("{table}"));
    rig.shutdown().await
}

/// The platform goes away as soon as one entry has the change; the others learn it from peers.
async fn outage(rig: &mut Rig) -> eyre::Result<Duration> {
    let faults = rig.standins.platform.host.faults.clone();
    let start = Instant::now();
    let contract = contract::ini::parse("bench", &contracts::text("one", "rate = 7\n"))?;
    let applied = rig.contracts().apply("bench", None, contract).await?;
    let operate::Applied::InForce(rev) = applied else {
        eyre::bail!("not applied: {applied:?}");
    };
    while !rig.running().any(|entry| entry.app.newest() >= rev) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    faults.change(|fault| fault.down = true);
    rig.wait_for_revision(rev).await?;
    let took = start.elapsed();
    faults.change(|fault| fault.down = false);
    Ok(took)
}
