//! Goodput as the offered load passes capacity.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Four services that work 20 ms on at most 4 calls each.
const CAPACITY: f64 = 800.0;

/// How long each part runs.
const SPAN: Duration = Duration::from_secs(5);

/// The deadline of a call in milliseconds.
const TIMEOUT: u64 = 500;

fn make(queue_order: &'static str) -> RigConfig {
    let free = "rate = 100000\nburst = 100000\nconcurrency = 100000\n";
    RigConfig {
        engines: 0,
        service_time: Duration::from_millis(20),
        service_slots: 4,
        queue_order,
        contracts: vec![contracts::text("one", free)],
        ..RigConfig::default()
    }
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let mut peak = 0.0_f64;
    for factor in [0.5, 1.0, 2.0, 5.0] {
        let rig = Rig::start(&make("fair")).await?;
        let callers = Callers {
            entries: rig.addrs(),
            token: contracts::token("one"),
            path: "/v1/services/portal/size/{n}".into(),
            rate: factor * CAPACITY,
            duration: SPAN,
            with_keys: false,
            timeout_ms: TIMEOUT,
            seed: 5,
        };
        let seen = callers.run().await;
        let good = seen.completed as f64 / SPAN.as_secs_f64();
        peak = peak.max(good);
        let name = format!("{factor} times capacity");
        table.row(
            format!("{name}: whole answers a second"),
            format!("{good:.0}"),
        );
        table.row(
            format!("{name}: part of the peak so far"),
            format!("{:.2}", good / peak),
        );
        table.latency(&format!("{name}: latency"), &seen.latency_us);
        table.row(format!("{name}: refused, not run"), seen.not_run);
        table.row(format!("{name}: refused, unknown"), seen.unknown);
        rig.shutdown().await?;
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
