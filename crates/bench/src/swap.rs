//! What the leader's choice of loads costs, by the number of engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use kernel::Map;
use load::Table;
use weight::Target;
use weight::scheduler::EngineState;
use weight::scheduler::LoadScheduler;

/// Models.
const MODELS: usize = 6;

/// Choices that are timed together.
const TIMES: u32 = 20;

fn seen(at: usize) -> EngineState {
    let models = (0..MODELS).map(|model| (format!("m{model}").into(), 1));
    EngineState {
        id: format!("i-{at:010x}").into(),
        models: models.collect(),
        running: (at % 6) as u32,
        slots: 6,
        busy: false,
    }
}

/// Versions of models whose steps differ in what they ask for.
fn aims() -> Map<Arc<str>, Target> {
    let aim = |model: usize| Target {
        newest: 2,
        oldest: 2,
        work: 1_000 + 300 * model as u64,
        concurrent_samples: 200,
        ..Target::default()
    };
    let aims = (0..MODELS).map(|model| (format!("m{model}").into(), aim(model)));
    aims.collect()
}

/// Runs the measurement.
pub(crate) fn run() {
    let mut table = Table::default();
    for engines in [100, 1_000, 10_000, 20_000] {
        let all: Vec<_> = (0..engines).map(seen).collect();
        let (aims, mut swap) = (aims(), LoadScheduler::default());
        let begun = Instant::now();
        black_box(swap.schedule(&all, 200, &aims));
        let first = begun.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!("{engines} engines: ms of the first choice"),
            format!("{first:.1}"),
        );
        let begun = Instant::now();
        for _ in 0..TIMES {
            black_box(swap.schedule(black_box(&all), 200, &aims));
        }
        let each = begun.elapsed().as_secs_f64() * 1e3 / f64::from(TIMES);
        table.row(
            format!("{engines} engines: ms of a choice"),
            format!("{each:.2}"),
        );
    }
    print!("{table}");
}
