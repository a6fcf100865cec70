//! Compliance with a contract's rate over 8 entries if the load balancer distributes calls unevenly.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Contracted calls per second.
const CONTRACT_RATE: f64 = 200.0;

/// Offered calls per second.
const OFFERED_RATE: f64 = 600.0;

/// Duration of each run. It includes the first seconds, in which the entries learn how the calls are distributed.
const RUN_DURATION: Duration = Duration::from_secs(15);

fn rig_settings() -> RigConfig {
    RigConfig {
        entries: 4,
        engines: 0,
        service_time: Duration::from_millis(2),
        service_slots: 64,
        contracts: vec![contracts::text("one", "rate = 200\nburst = 20\n")],
        ..RigConfig::default()
    }
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("entries", 8);
    table.row("contracted calls per second", CONTRACT_RATE);
    table.row("offered calls per second", OFFERED_RATE);
    for (name, used_entries) in [
        ("all entries", 8),
        ("3 of 8 entries", 3),
        ("1 of 8 entries", 1),
    ] {
        let rig = Rig::start(&rig_settings()).await?;
        let callers = Callers {
            entries: rig.addrs().into_iter().take(used_entries).collect(),
            token: contracts::token("one"),
            path: "/v1/services/portal/size/{n}".into(),
            rate: OFFERED_RATE,
            duration: RUN_DURATION,
            with_keys: false,
            timeout_ms: 2_000,
            seed: 4,
        };
        let result = callers.run().await;
        let rate = result.completed as f64 / RUN_DURATION.as_secs_f64();
        table.row(
            format!("{name}: complete responses per second"),
            format!("{rate:.0}"),
        );
        table.row(
            format!("{name}: ratio to the contracted rate"),
            format!("{:.2}", rate / CONTRACT_RATE),
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
