//! Latency of lookups if one of four upstreams is slow or down.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use standin::Fault;

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(6);

fn rig_settings(chooser: &'static str) -> RigConfig {
    RigConfig {
        engines: 0,
        service_time: Duration::from_millis(5),
        service_slots: 16,
        chooser,
        contracts: vec![contracts::text("one", "")],
        ..RigConfig::default()
    }
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    for chooser in ["scored", "round"] {
        let mut healthy_p99 = 0.0;
        for (name, fault) in [
            ("healthy", Fault::default()),
            (
                "one 20 times slower",
                Fault {
                    slow: 20.0,
                    ..Fault::default()
                },
            ),
            (
                "one down",
                Fault {
                    down: true,
                    ..Fault::default()
                },
            ),
        ] {
            let rig = Rig::start(&rig_settings(chooser)).await?;
            rig.standins.services[0].host.faults.set(fault);
            let callers = Callers {
                entries: rig.addrs(),
                token: contracts::token("one"),
                path: "/v1/services/portal/size/{n}".into(),
                rate: 300.0,
                duration: RUN_DURATION,
                with_keys: false,
                timeout_ms: 2_000,
                seed: 3,
            };
            let result = callers.run().await;
            let p99 = result.latency_us.value_at_quantile(0.99) as f64;
            if healthy_p99 == 0.0 {
                healthy_p99 = p99;
            }
            let name = format!("{chooser}, {name}");
            table.latency(&name, &result.latency_us);
            table.row(
                format!("{name}: ratio to the p99 with all healthy"),
                format!("{:.2}", p99 / healthy_p99),
            );
            table.row(
                format!("{name}: completed of sent"),
                format!("{} of {}", result.completed, result.sent),
            );
            rig.shutdown().await?;
        }
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
