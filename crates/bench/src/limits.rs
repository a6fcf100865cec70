//! Whether a contract's rate holds over 8 entries when the balancer is uneven.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Contracted calls a second.
const RATE: f64 = 200.0;

/// Offered calls a second.
const OFFERED: f64 = 600.0;

/// How long each part runs; the first seconds go into learning who is asked how much.
const SPAN: Duration = Duration::from_secs(15);

fn make() -> RigConfig {
    RigConfig {
        entries: 4,
        engines: 0,
        service_time: Duration::from_millis(2),
        service_slots: 64,
        contracts: vec![contracts::text("one", "rate = 200\nburst = 20\n")],
        ..RigConfig::default()
    }
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    table.row("entries", 8);
    table.row("contracted calls a second", RATE);
    table.row("offered calls a second", OFFERED);
    for (name, used) in [
        ("all entries", 8),
        ("3 of 8 entries", 3),
        ("1 of 8 entries", 1),
    ] {
        let rig = Rig::start(&make()).await?;
        let callers = Callers {
            entries: rig.addrs().into_iter().take(used).collect(),
            token: contracts::token("one"),
            path: "/v1/services/portal/size/{n}".into(),
            rate: OFFERED,
            duration: SPAN,
            with_keys: false,
            timeout_ms: 2_000,
            seed: 4,
        };
        let seen = callers.run().await;
        let rate = seen.completed as f64 / SPAN.as_secs_f64();
        table.row(
            format!("{name}: whole answers a second"),
            format!("{rate:.0}"),
        );
        table.row(
            format!("{name}: of the contract"),
            format!("{:.2}", rate / RATE),
        );
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
