//! Goodput at offered loads below and above capacity.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Capacity in calls per second: four services that process up to 4 calls concurrently, in 20 ms each.
const CAPACITY_PER_SECOND: f64 = 800.0;

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(5);

/// Deadline of a call in milliseconds.
const TIMEOUT_MS: u64 = 500;

fn rig_settings(queue_order: &'static str) -> RigConfig {
    let unlimited = "rate = 100000\nburst = 100000\nconcurrency = 100000\n";
    RigConfig {
        engines: 0,
        service_time: Duration::from_millis(20),
        service_slots: 4,
        queue_order,
        contracts: vec![contracts::text("one", unlimited)],
        ..RigConfig::default()
    }
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let mut peak = 0.0_f64;
    for factor in [0.5, 1.0, 2.0, 5.0] {
        let rig = Rig::start(&rig_settings("fair")).await?;
        let callers = Callers {
            entries: rig.addrs(),
            token: contracts::token("one"),
            path: "/v1/services/portal/size/{n}".into(),
            rate: factor * CAPACITY_PER_SECOND,
            duration: RUN_DURATION,
            with_keys: false,
            timeout_ms: TIMEOUT_MS,
            seed: 5,
        };
        let result = callers.run().await;
        let goodput = result.completed as f64 / RUN_DURATION.as_secs_f64();
        peak = peak.max(goodput);
        let name = format!("{factor} times capacity");
        table.row(
            format!("{name}: complete responses per second"),
            format!("{goodput:.0}"),
        );
        table.row(
            format!("{name}: share of the peak so far"),
            format!("{:.2}", goodput / peak),
        );
        table.latency(&format!("{name}: latency"), &result.latency_us);
        table.row(format!("{name}: rejected, not executed"), result.not_run);
        table.row(
            format!("{name}: rejected or no response, execution unknown"),
            result.unknown,
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
