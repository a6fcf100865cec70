//! Idle time of a trainer and staleness of its samples, for the policy and a baseline. Both are measured in one run with
//! the same sample lengths.

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

/// Median length of a sample.
const MEDIAN_TOKENS: u32 = 60;

/// Concurrent streams per engine.
const SLOTS: u32 = 8;

/// Generation rate of one stream.
const TOKENS_PER_SECOND: f64 = 400.0;

/// Time from the start of the trainer until the fault is injected.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);

/// Duration of the platform's outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(5);

fn rig_settings(
    policy: &'static str,
    chooser: &'static str,
    queue_order: &'static str,
) -> RigConfig {
    RigConfig {
        engines: 4,
        engine: engine::Settings {
            median: MEDIAN_TOKENS,
            slots: SLOTS,
            speed: TOKENS_PER_SECOND,
            ..engine::Settings::default()
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
            .unwrap_or_else(|_| unreachable!("the model name is valid")),
        groups: 96,
        samples: 8,
        max_tokens: 2_000,
        steps: 4,
        train_time: Duration::from_millis(1_500),
        start_version: 1,
        label: "bench".into(),
        median_tokens: MEDIAN_TOKENS,
    }
}

async fn measure(settings: &RigConfig, fault: &str) -> eyre::Result<TrainerStats> {
    let mut rig = Rig::start(settings).await?;
    let trainer = trainer(&rig);
    let task = tokio::spawn(async move { trainer.run().await });
    tokio::time::sleep(FAULT_DELAY).await;
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
            tokio::time::sleep(OUTAGE_DURATION).await;
            faults.change(|fault| fault.down = false);
        }
        other => bail!("unknown fault {other:?}"),
    }
    let result = task.await?;
    rig.shutdown().await?;
    Ok(result)
}

/// Returns the minimum time that the 8 engines need for a step, in seconds: the time for its tokens if all streams are
/// in use, or for its longest sample if that takes longer.
fn min_step_seconds(result: &TrainerStats) -> f64 {
    let streams = f64::from(SLOTS) * 8.0;
    let tokens = result.tokens as f64 / f64::from(result.steps.max(1));
    let longest = result.longest_tokens as f64 / f64::from(result.steps.max(1));
    (tokens / (TOKENS_PER_SECOND * streams)).max(longest / TOKENS_PER_SECOND)
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run(parsed: &ParsedArgs) -> eyre::Result<()> {
    let fault = parsed.value("fault").unwrap_or("none");
    let mut table = Table::default();
    let policy = measure(&rig_settings("longest", "scored", "fair"), fault).await?;
    let baseline = measure(&rig_settings("inorder", "least", "fifo"), fault).await?;
    for (name, result) in [("policy", &policy), ("baseline", &baseline)] {
        add_trainer_rows(&mut table, name, result);
        let step_seconds = result.step_ms.value_at_quantile(0.5) as f64 / 1_000.0;
        table.row(
            format!("{name}: ratio of the step time to the engines' minimum"),
            format!("{:.2}", step_seconds / min_step_seconds(result)),
        );
    }
    let idle_ratio = policy.idle.as_secs_f64() / baseline.idle.as_secs_f64();
    table.row(
        "idle time, ratio of policy to baseline",
        format!("{idle_ratio:.2}"),
    );
    let staleness_ratio = policy.staleness.mean() / baseline.staleness.mean().max(1e-9);
    table.row(
        "mean staleness, ratio of policy to baseline",
        format!("{staleness_ratio:.2}"),
    );
    args::output::write(format_args!("{table}"));
    if policy.violations() > 0 {
        bail!("{} samples broke a promise", policy.violations());
    }
    Ok(())
}
