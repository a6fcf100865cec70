//! Platform writes of the journal, by the rate of orders.

use std::sync::atomic::Ordering;
use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(8);

fn rig_settings() -> RigConfig {
    RigConfig {
        engines: 0,
        services: 4,
        service_time: Duration::from_millis(5),
        service_slots: 32,
        entries: 4,
        contracts: vec![contracts::text(
            "one",
            "rate = 5000\nburst = 5000\nconcurrency = 4096\n",
        )],
        ..RigConfig::default()
    }
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("entries", 8);
    table.row("shards of the journal", 16);
    for rate in [10.0, 100.0, 1_000.0] {
        let rig = Rig::start(&rig_settings()).await?;
        let platform = rig.standins.platform.state.clone();
        let transactions = || platform.calls.txn.load(Ordering::Relaxed);
        let before = transactions();
        let callers = Callers {
            entries: rig.addrs(),
            token: contracts::token("one"),
            path: "/v1/services/portal/orders".into(),
            rate,
            duration: RUN_DURATION,
            with_keys: true,
            timeout_ms: 3_000,
            seed: 9,
        };
        let result = callers.run().await;
        let write_rate = (transactions() - before) as f64 / RUN_DURATION.as_secs_f64();
        let name = format!("{rate} orders per second");
        table.row(
            format!("{name}: platform writes per second"),
            format!("{write_rate:.1}"),
        );
        table.row(
            format!("{name}: platform writes per order"),
            format!("{:.2}", write_rate / rate),
        );
        table.row(
            format!("{name}: completed of sent"),
            format!("{} of {}", result.completed, result.sent),
        );
        table.latency(&name, &result.latency_us);
        table.row(
            format!("{name}: executed twice"),
            rig.standins.repeated_orders().len(),
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
