//! Time from the announcement of a weight version until all engines have loaded it.

use std::time::Duration;
use std::time::Instant;

use load::Table;
use rig::Call;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use serde_json::json;
use standin::engine;

/// Size of a weight version.
const VERSION_BYTES: usize = 200_000;

/// Bandwidth of the weight store.
const STORE_BYTES_PER_SECOND: f64 = 20e6;

/// Maximum time to wait until all engines have a version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

fn rig_settings(engines: usize, with_cache: bool) -> RigConfig {
    RigConfig {
        with_cache,
        engines: engines / 2,
        engine: engine::Settings {
            slots: 8,
            swap: Duration::from_millis(200),
            ..engine::Settings::default()
        },
        services: 0,
        with_control: true,
        store: Some((VERSION_BYTES, STORE_BYTES_PER_SECOND)),
        contracts: vec![contracts::text("staff", "")],
        report_interval: "5s",
        ..RigConfig::default()
    }
}

/// Announces a version; repeats the request until it succeeds.
async fn announce(rig: &Rig, version: u64) -> eyre::Result<()> {
    let path = "/v1/weights/fitting";
    let body = json!({ "version": version });
    loop {
        let request = Call::json(rig.addrs()[0], "staff", path, &body);
        if request.send().await?.status.is_success() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until all engines have a version or the timeout has passed, and returns the time that it took.
async fn wait_for_version(rig: &Rig, version: u64) -> Duration {
    let start = Instant::now();
    let has_version =
        |engine: &rig::standins::Standin<standin::Engine>| engine.state.version() == version;
    while !rig.standins.engines.iter().all(has_version) && start.elapsed() < LOAD_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("bytes per version", VERSION_BYTES);
    table.row(
        "bytes per second of the store",
        format!("{STORE_BYTES_PER_SECOND:.0}"),
    );
    for (engines, cache) in [10, 100, 600]
        .into_iter()
        .flat_map(|engines| [(engines, true), (engines, false)])
    {
        let rig = Rig::start(&rig_settings(engines, cache)).await?;
        // The first announcement is not measured, since it waits until the control instances hold their leases.
        announce(&rig, 2).await?;
        wait_for_version(&rig, 2).await;
        let bytes_sent = || {
            rig.standins
                .store
                .as_ref()
                .map_or(0, |store| store.state.bytes_sent())
        };
        let before = bytes_sent();
        let mut longest = Duration::ZERO;
        for version in 3..6 {
            let start = Instant::now();
            announce(&rig, version).await?;
            wait_for_version(&rig, version).await;
            longest = longest.max(start.elapsed());
        }
        let source = if cache {
            "with caches"
        } else {
            "directly from the store"
        };
        let name = format!("{engines} engines, {source}");
        table.row(
            format!("{name}: announcement until loaded by all, longest of 3 [ms]"),
            longest.as_millis(),
        );
        let bytes_per_version = (bytes_sent() - before) / 3;
        table.row(
            format!("{name}: bytes from the store per version"),
            bytes_per_version,
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
