//! Cost of scheduling weight loads on the leader, by the number of engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use kernel::Map;
use load::Table;
use weight::Target;
use weight::scheduler::EngineState;
use weight::scheduler::LoadScheduler;

/// Number of models.
const MODELS: usize = 6;

/// Number of schedules that are timed together.
const ITERATIONS: u32 = 20;

fn engine_state(index: usize) -> EngineState {
    let models = (0..MODELS).map(|model| (format!("m{model}").into(), 1));
    EngineState {
        id: format!("i-{index:010x}").into(),
        models: models.collect(),
        running: (index % 6) as u32,
        slots: 6,
        busy: false,
    }
}

/// Returns the target versions of models whose steps differ in their amount of work.
fn targets() -> Map<Arc<str>, Target> {
    let target = |model: usize| Target {
        newest: 2,
        oldest: 2,
        work: 1_000 + 300 * model as u64,
        concurrent_samples: 200,
        ..Target::default()
    };
    let targets = (0..MODELS).map(|model| (format!("m{model}").into(), target(model)));
    targets.collect()
}

/// Runs the benchmark and prints its results.
pub(crate) fn run() {
    let mut table = Table::default();
    for engines in [100, 1_000, 10_000, 20_000] {
        let all: Vec<_> = (0..engines).map(engine_state).collect();
        let (targets, mut scheduler) = (targets(), LoadScheduler::default());
        let start = Instant::now();
        black_box(scheduler.schedule(&all, 200, &targets));
        let first_ms = start.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!("{engines} engines: ms of the first schedule"),
            format!("{first_ms:.1}"),
        );
        let start = Instant::now();
        for _ in 0..ITERATIONS {
            black_box(scheduler.schedule(black_box(&all), 200, &targets));
        }
        let next_ms = start.elapsed().as_secs_f64() * 1e3 / f64::from(ITERATIONS);
        table.row(
            format!("{engines} engines: ms of each later schedule"),
            format!("{next_ms:.2}"),
        );
    }
    print!("{table}");
}
