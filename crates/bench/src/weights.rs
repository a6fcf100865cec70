//! Time from an announcement until every engine has it.

use std::time::Duration;
use std::time::Instant;

use load::Table;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::engine;

/// Bytes of a version in this measurement.
const SIZE: usize = 200_000;

/// Bytes a second of the store.
const RATE: f64 = 20e6;

/// Longest time that is waited.
const LIMIT: Duration = Duration::from_secs(60);

fn make(engines: usize, with_cache: bool) -> RigConfig {
    RigConfig {
        with_cache,
        engines: engines / 2,
        engine: engine::Make {
            slots: 8,
            swap: Duration::from_millis(200),
            ..engine::Make::default()
        },
        services: 0,
        with_control: true,
        store: Some((SIZE, RATE)),
        contracts: vec![contracts::text("staff", "")],
        report_interval: "5s",
        ..RigConfig::default()
    }
}

async fn announce(rig: &Rig, version: u64) -> eyre::Result<()> {
    let path = "/v1/weights/fitting";
    let body = json!({ "version": version });
    loop {
        let asked = Call::json(rig.addrs()[0], "staff", path, &body);
        if asked.send().await?.status.is_success() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn reach(rig: &Rig, version: u64) -> Duration {
    let start = Instant::now();
    let has = |e: &rig::standins::Standin<standin::Engine>| e.state.version() == version;
    while !rig.standins.engines.iter().all(has) && start.elapsed() < LIMIT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("bytes of a version", SIZE);
    table.row("bytes a second of the store", format!("{RATE:.0}"));
    for (engines, cache) in [10, 100, 600]
        .into_iter()
        .flat_map(|n| [(n, true), (n, false)])
    {
        let rig = Rig::start(&make(engines, cache)).await?;
        // The first announcement waits for the leases to be taken.
        announce(&rig, 2).await?;
        reach(&rig, 2).await;
        let sent = || {
            rig.standins
                .store
                .as_ref()
                .map_or(0, |store| store.state.sent())
        };
        let before = sent();
        let mut worst = Duration::ZERO;
        for version in 3..6 {
            let start = Instant::now();
            announce(&rig, version).await?;
            reach(&rig, version).await;
            worst = worst.max(start.elapsed());
        }
        let how = if cache {
            "with caches"
        } else {
            "straight from the store"
        };
        let name = format!("{engines} engines, {how}");
        table.row(
            format!("{name}: announcement until all, worst of 3 [ms]"),
            worst.as_millis(),
        );
        let bytes = (sent() - before) / 3;
        table.row(format!("{name}: bytes from the store a version"), bytes);
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
