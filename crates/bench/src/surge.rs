//! Latency of one customer's lookups while another customer sends 10 times its contracted rate.

use std::time::Duration;

use load::Callers;
use load::Table;
use load::callers::CallerStats;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;

/// Lookups per second of the customer within its contract.
const CALM_RATE: f64 = 100.0;

/// Contracted calls per second of the customer that exceeds its contract.
const CONTRACT_RATE: f64 = 200.0;

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(6);

/// Settings of a fleet with a capacity of 800 calls per second: four services that process up to 4 calls concurrently,
/// in 20 ms each.
fn rig_settings(queue_order: &'static str, chooser: &'static str, limited: bool) -> RigConfig {
    let surge_contract = match limited {
        true => format!("rate = {CONTRACT_RATE}\nburst = 40\n"),
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
            contracts::text("surge", &surge_contract),
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
        duration: RUN_DURATION,
        with_keys: false,
        timeout_ms: 2_000,
        seed: 11,
    }
}

/// Runs both customers. Returns the results of the one within its contract, then of the one that exceeds it.
async fn measure(
    settings: &RigConfig,
    surge_rate: f64,
) -> eyre::Result<(CallerStats, CallerStats)> {
    let rig = Rig::start(settings).await?;
    let calm = callers(&rig, "calm", CALM_RATE);
    let surge = callers(&rig, "surge", surge_rate);
    let results = tokio::join!(calm.run(), surge.run());
    rig.shutdown().await?;
    Ok(results)
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run() -> eyre::Result<()> {
    let mut table = Table::default();
    let cases = [
        ("quiet", rig_settings("fair", "scored", true), CONTRACT_RATE),
        (
            "surge, limits and fair queue",
            rig_settings("fair", "scored", true),
            10.0 * CONTRACT_RATE,
        ),
        (
            "surge, fair queue only",
            rig_settings("fair", "scored", false),
            10.0 * CONTRACT_RATE,
        ),
        (
            "surge, baseline (fifo, least, no limits)",
            rig_settings("fifo", "least", false),
            10.0 * CONTRACT_RATE,
        ),
    ];
    let mut quiet_p99 = 0.0;
    for (name, settings, surge_rate) in cases {
        let (calm, surge) = measure(&settings, surge_rate).await?;
        let p99 = calm.latency_us.value_at_quantile(0.99) as f64;
        if quiet_p99 == 0.0 {
            quiet_p99 = p99;
        }
        table.latency(&format!("{name}: calm"), &calm.latency_us);
        table.row(
            format!("{name}: calm, ratio to the quiet p99"),
            format!("{:.2}", p99 / quiet_p99),
        );
        table.row(
            format!("{name}: calm, completed of sent"),
            format!("{} of {}", calm.completed, calm.sent),
        );
        table.row(
            format!("{name}: surge, completed of sent"),
            format!("{} of {}", surge.completed, surge.sent),
        );
    }
    args::output::write(format_args!("{table}"));
    Ok(())
}
