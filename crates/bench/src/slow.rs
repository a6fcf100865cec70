//! Lookups with one upstream of four slow or dead.

use std::time::Duration;

use load::Callers;
use load::Table;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use standin::Fault;

/// How long each part runs.
const SPAN: Duration = Duration::from_secs(6);

fn make(chooser: &'static str) -> RigConfig {
    RigConfig {
        engines: 0,
        service_time: Duration::from_millis(5),
        service_slots: 16,
        chooser,
        contracts: vec![contracts::text("one", "")],
        ..RigConfig::default()
    }
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    for chooser in ["scored", "round"] {
        let mut healthy = 0.0;
        for (name, fault) in [
            ("healthy", Fault::default()),
            (
                "one slow 20 times",
                Fault {
                    slow: 20.0,
                    ..Fault::default()
                },
            ),
            (
                "one dead",
                Fault {
                    down: true,
                    ..Fault::default()
                },
            ),
        ] {
            let rig = Rig::start(&make(chooser)).await?;
            rig.standins.services[0].host.faults.set(fault);
            let callers = Callers {
                entries: rig.addrs(),
                token: contracts::token("one"),
                path: "/v1/services/portal/size/{n}".into(),
                rate: 300.0,
                duration: SPAN,
                with_keys: false,
                timeout_ms: 2_000,
                seed: 3,
            };
            let seen = callers.run().await;
            let p99 = seen.latency_us.value_at_quantile(0.99) as f64;
            if healthy == 0.0 {
                healthy = p99;
            }
            let name = format!("{chooser}, {name}");
            table.latency(&name, &seen.latency_us);
            table.row(
                format!("{name}: p99 to healthy"),
                format!("{:.2}", p99 / healthy),
            );
            table.row(
                format!("{name}: whole of sent"),
                format!("{} of {}", seen.completed, seen.sent),
            );
            rig.shutdown().await?;
        }
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
