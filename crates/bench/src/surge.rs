//! Lookups of one customer while another surges to 10 times its contract.

use std::time::Duration;

use load::Callers;
use load::Table;
use load::callers::CallerStats;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Lookups a second of the calm customer.
const CALM: f64 = 100.0;

/// Contracted calls a second of the customer that surges.
const CONTRACT: f64 = 200.0;

/// How long each part runs.
const SPAN: Duration = Duration::from_secs(6);

/// Four services that work 20 ms on at most 4 calls each: 800 calls a second.
fn make(queue_order: &'static str, chooser: &'static str, limited: bool) -> RigConfig {
    let surge = match limited {
        true => format!("rate = {CONTRACT}\nburst = 40\n"),
        false => "rate = 100000\nburst = 100000\nconcurrency = 100000\n".into(),
    };
    RigConfig {
        engines: 0,
        service_time: Duration::from_millis(20),
        service_slots: 4,
        queue_order,
        chooser,
        contracts: vec![
            contracts::text("calm", ""),
            contracts::text("surge", &surge),
        ],
        ..RigConfig::default()
    }
}

fn callers(rig: &Rig, customer: &str, rate: f64) -> Callers {
    Callers {
        entries: rig.addrs(),
        token: contracts::token(customer),
        path: "/v1/services/portal/size/{n}".into(),
        rate,
        duration: SPAN,
        with_keys: false,
        timeout_ms: 2_000,
        seed: 11,
    }
}

async fn part(make: &RigConfig, surge: f64) -> eyre::Result<(CallerStats, CallerStats)> {
    let rig = Rig::start(make).await?;
    let calm = callers(&rig, "calm", CALM);
    let other = callers(&rig, "surge", surge);
    let seen = tokio::join!(calm.run(), other.run());
    rig.shutdown().await?;
    Ok(seen)
}

/// Runs the measurement.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let parts = [
        ("quiet", make("fair", "scored", true), CONTRACT),
        (
            "surge, limits and fair queue",
            make("fair", "scored", true),
            10.0 * CONTRACT,
        ),
        (
            "surge, fair queue only",
            make("fair", "scored", false),
            10.0 * CONTRACT,
        ),
        (
            "surge, baseline (fifo, least, no limits)",
            make("fifo", "least", false),
            10.0 * CONTRACT,
        ),
    ];
    let mut quiet = 0.0;
    for (name, make, rate) in parts {
        let (calm, other) = part(&make, rate).await?;
        let p99 = calm.latency_us.value_at_quantile(0.99) as f64;
        if quiet == 0.0 {
            quiet = p99;
        }
        table.latency(&format!("{name}: calm"), &calm.latency_us);
        table.row(
            format!("{name}: calm p99 to quiet p99"),
            format!("{:.2}", p99 / quiet),
        );
        table.row(
            format!("{name}: calm whole of sent"),
            format!("{} of {}", calm.completed, calm.sent),
        );
        table.row(
            format!("{name}: surge whole of sent"),
            format!("{} of {}", other.completed, other.sent),
        );
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
