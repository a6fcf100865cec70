//! Writes to the platform at several rates of orders.

use std::sync::atomic::Ordering;
use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// How long each part runs.
const SPAN: Duration = Duration::from_secs(8);

fn make() -> RigConfig {
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

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("entries", 8);
    table.row("shards of the journal", 16);
    for rate in [10.0, 100.0, 1_000.0] {
        let rig = Rig::start(&make()).await?;
        let platform = rig.standins.platform.state.clone();
        let calls = || platform.calls.txn.load(Ordering::Relaxed);
        let before = calls();
        let callers = Callers {
            entries: rig.addrs(),
            token: contracts::token("one"),
            path: "/v1/services/portal/orders".into(),
            rate,
            duration: SPAN,
            with_keys: true,
            timeout_ms: 3_000,
            seed: 9,
        };
        let seen = callers.run().await;
        let writes = (calls() - before) as f64 / SPAN.as_secs_f64();
        let name = format!("{rate} orders a second");
        table.row(
            format!("{name}: platform writes a second"),
            format!("{writes:.1}"),
        );
        table.row(
            format!("{name}: writes an order"),
            format!("{:.2}", writes / rate),
        );
        table.row(
            format!("{name}: whole of sent"),
            format!("{} of {}", seen.completed, seen.sent),
        );
        table.latency(&name, &seen.latency_us);
        table.row(
            format!("{name}: ran twice"),
            rig.standins.repeated_orders().len(),
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
