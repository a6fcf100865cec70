//! Runs a trainer and callers against a fleet and checks the guarantees on their responses.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use args::ParsedArgs;
use eyre::bail;
use load::Callers;
use load::Table;
use load::Trainer;
use load::callers;
use load::trainer;
use rig::Rig;
use rig::RigConfig;
use rig::contracts::token;
use rig::standins::PEER_SECRET;
use standin::engine;

/// Customer of the trainer.
const TRAINER_CUSTOMER: &str = "fitting-staff";

/// Customer of the lookups and orders.
const PORTAL_CUSTOMER: &str = "order-portal";

/// Median number of tokens of a sample.
const MEDIAN_TOKENS: u32 = 60;

/// Runs the program.
///
/// # Errors
///
/// Returns an error if the fleet cannot start, or if a guarantee was violated.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let steps = parsed.get("steps", "a number of steps")?.unwrap_or(4);
    if parsed.has("verbose") {
        logs::init(&logs::Settings::default())?;
    }
    args::program::block_on(demo(steps, parsed.has("stay")))
}

fn rig_config() -> RigConfig {
    RigConfig {
        engines: 3,
        engine: engine::Settings {
            median: MEDIAN_TOKENS,
            ..engine::Settings::default()
        },
        with_control: true,
        store: Some((1 << 20, 200e6)),
        ..RigConfig::default()
    }
}

fn contracts() -> [String; 2] {
    let staff = "rate = 200\nconcurrency = 256\nclass = 2\nstaleness = 1\nweighs = staleness\n";
    let portal = "rate = 400\nconcurrency = 256\nclass = 5\n";
    [
        rig::contracts::text(TRAINER_CUSTOMER, staff),
        rig::contracts::text(PORTAL_CUSTOMER, portal),
    ]
}

async fn demo(steps: u32, stay: bool) -> eyre::Result<()> {
    let rig = Rig::start(&rig_config()).await?;
    let apply_start = Instant::now();
    rig.apply(&contracts()).await?;
    let apply_time = apply_start.elapsed();
    let results = run_load(&rig.addrs(), steps).await;
    let mut table = Table::default();
    table.row("contracts in force everywhere [ms]", apply_time.as_millis());
    load::run::add_trainer_rows(&mut table, "trainer", &results.trainer);
    load::run::add_caller_rows(&mut table, "lookups", &results.lookups);
    load::run::add_caller_rows(&mut table, "orders", &results.orders);
    let repeated = rig.standins.repeated_orders().len() as u64;
    table.row("orders that ran more than once", repeated);
    args::output::write(format_args!("{table}"));
    let violations = results.violations() + repeated;
    if stay {
        self::stay(rig).await?;
    } else {
        rig.shutdown().await?;
    }
    if violations > 0 {
        bail!("{violations} promises were broken");
    }
    args::print_line!("every promise was kept");
    Ok(())
}

struct Results {
    trainer: trainer::TrainerStats,
    lookups: callers::CallerStats,
    orders: callers::CallerStats,
}

impl Results {
    fn violations(&self) -> u64 {
        self.trainer.violations() + self.lookups.mismatched + self.orders.mismatched
    }
}

/// Runs a trainer, with lookups and orders at the same time, and returns the results.
async fn run_load(entries: &[SocketAddr], steps: u32) -> Results {
    let trainer = Trainer {
        entries: entries.to_vec(),
        token: token(TRAINER_CUSTOMER),
        model: "fitting"
            .parse()
            .unwrap_or_else(|_| unreachable!("the model name is valid")),
        groups: 16,
        samples: 8,
        max_tokens: 1_024,
        steps,
        train_time: Duration::from_millis(500),
        start_version: 1,
        label: "demo".into(),
        median_tokens: MEDIAN_TOKENS,
    };
    let callers = |path: &str, rate: f64, with_keys: bool| Callers {
        entries: entries.to_vec(),
        token: token(PORTAL_CUSTOMER),
        path: path.into(),
        rate,
        duration: Duration::from_millis(1_500) * steps,
        with_keys,
        timeout_ms: 2_000,
        seed: 7,
    };
    let lookups = callers("/v1/services/portal/size/{n}", 100.0, false);
    let orders = callers("/v1/services/portal/orders", 20.0, true);
    let (trainer, lookups, orders) = tokio::join!(trainer.run(), lookups.run(), orders.run());
    Results {
        trainer,
        lookups,
        orders,
    }
}

/// Prints addresses, tokens and the operator's settings, and keeps the fleet running until the process is
/// interrupted or terminated.
async fn stay(rig: Rig) -> eyre::Result<()> {
    let platform = rig.standins.platform.host.addr;
    args::print_line!("\nplatform  http://{platform}");
    let mut text = format!("[platform]\naddresses = {platform}\n[peers]\nsecret = {PEER_SECRET}\n");
    for entry in rig.running() {
        let me = &entry.app.settings.me;
        args::print_line!("entry     http://{}  ({})", entry.addr, me.name);
        text += &format!(
            "[peer {}]\ndomain = {}\naddress = {}\n",
            me.name, me.domain, entry.addr
        );
    }
    args::print_line!("tokens    {} (order portal)", token(PORTAL_CUSTOMER));
    args::print_line!("          {} (tailoring staff)", token(TRAINER_CUSTOMER));
    let file = std::env::temp_dir().join("snipeway-demo.ini");
    std::fs::write(&file, text)?;
    args::print_line!("operators snipeway status --config {}", file.display());
    args::print_line!("interrupt to end");
    serve::server::wait_for_termination().await;
    rig.shutdown().await
}
