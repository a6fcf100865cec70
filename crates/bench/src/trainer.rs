//! Idle time and staleness of a trainer, policy and baseline in one run with the same lengths.

use std::time::Duration;

use args::ParsedArgs;
use eyre::bail;
use load::Table;
use load::Trainer;
use load::run::add_trainer_rows;
use load::trainer::TrainerStats;
use rig::Rig;
use rig::RigConfig;
use rig::contracts;
use standin::Fault;
use standin::engine;

/// Median length of a sample in tokens.
const MEDIAN: u32 = 60;

/// Streams of one engine at the same time.
const SLOTS: u32 = 8;

/// Tokens a second of one stream.
const SPEED: f64 = 400.0;

/// When the fault comes.
const AFTER: Duration = Duration::from_millis(1_500);

/// How long the platform is away.
const AWAY: Duration = Duration::from_secs(5);

fn make(policy: &'static str, chooser: &'static str, queue_order: &'static str) -> RigConfig {
    RigConfig {
        engines: 4,
        engine: engine::Make {
            median: MEDIAN,
            slots: SLOTS,
            speed: SPEED,
            ..engine::Make::default()
        },
        services: 0,
        with_control: true,
        store: Some((1 << 20, 200e6)),
        policy,
        chooser,
        queue_order,
        contracts: vec![contracts::text("staff", "staleness = 1\nweighs = idle\n")],
        ..RigConfig::default()
    }
}

fn trainer(rig: &Rig) -> Trainer {
    Trainer {
        entries: rig.addrs(),
        token: contracts::token("staff"),
        model: "fitting"
            .parse()
            .unwrap_or_else(|_| unreachable!("a good name")),
        groups: 96,
        samples: 8,
        max_tokens: 2_000,
        steps: 4,
        train_time: Duration::from_millis(1_500),
        start_version: 1,
        label: "bench".into(),
        median_tokens: MEDIAN,
    }
}

async fn part(make: &RigConfig, fault: &str) -> eyre::Result<TrainerStats> {
    let mut rig = Rig::start(make).await?;
    let trainer = trainer(&rig);
    let run = tokio::spawn(async move { trainer.run().await });
    tokio::time::sleep(AFTER).await;
    match fault {
        "none" => (),
        "engine" => rig.standins.engines[0].host.faults.set(Fault {
            down: true,
            ..Fault::default()
        }),
        "slow" => rig.standins.engines[0].host.faults.set(Fault {
            slow: 6.0,
            ..Fault::default()
        }),
        "entry" => rig.kill(0),
        "platform" => {
            let faults = rig.standins.platform.host.faults.clone();
            faults.change(|fault| fault.down = true);
            tokio::time::sleep(AWAY).await;
            faults.change(|fault| fault.down = false);
        }
        other => bail!("unknown fault {other:?}"),
    }
    let seen = run.await?;
    rig.shutdown().await?;
    Ok(seen)
}

/// Seconds that the engines need at least for a step: for its tokens with every stream in use,
/// and for its longest sample.
fn bound(seen: &TrainerStats) -> f64 {
    let streams = f64::from(SLOTS) * 8.0;
    let tokens = seen.tokens as f64 / f64::from(seen.steps.max(1));
    let longest = seen.longest_tokens as f64 / f64::from(seen.steps.max(1));
    (tokens / (SPEED * streams)).max(longest / SPEED)
}

/// Runs the measurement.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let fault = parsed.value("fault").unwrap_or("none");
    let mut table = Table::default();
    let policy = part(&make("longest", "scored", "fair"), fault).await?;
    let baseline = part(&make("inorder", "least", "fifo"), fault).await?;
    for (name, seen) in [("policy", &policy), ("baseline", &baseline)] {
        add_trainer_rows(&mut table, name, seen);
        let step = seen.step_ms.value_at_quantile(0.5) as f64 / 1_000.0;
        table.row(
            format!("{name} step to the engines' bound"),
            format!("{:.2}", step / bound(seen)),
        );
    }
    let idle = policy.idle.as_secs_f64() / baseline.idle.as_secs_f64();
    table.row("idle, policy to baseline", format!("{idle:.2}"));
    let stale = policy.staleness.mean() / baseline.staleness.mean().max(1e-9);
    table.row("mean staleness, policy to baseline", format!("{stale:.2}"));
    args::output::write(format_args!("{table}"));
    if policy.violations() > 0 {
        bail!("{} samples broke a promise", policy.violations());
    }
    Ok(())
}
