//! Cost of choosing an engine for a sample, by the number of engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use kernel::Millis;
use load::Table;
use place::EngineMemory;
use place::EngineTracker;
use place::PlacementRequest;
use place::PlacementRound;
use table::Incarnation;
use table::Upstream;
use table::UpstreamList;

/// Number of operations that are timed together.
const ITERATIONS: u32 = 400;

/// Slots per engine.
const SLOTS: u32 = 6;

/// Time at which the list of engines is updated and the engines are chosen.
const NOW: Millis = 10_000;

fn engine(index: usize) -> Upstream {
    let name: Arc<str> = format!("i-{index:010x}").into();
    Upstream {
        id: name.clone(),
        incarnation: Incarnation {
            name,
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: ["nord", "syd"][index % 2].into(),
        slots: SLOTS,
        leaving: false,
        spot: false,
        weights: vec![("large".into(), 7), ("small".into(), 3 + index as u64 % 2)],
    }
}

/// Returns engines whose slots are all in use, except for one slot of every `free_interval`-th engine, starting with
/// the first.
fn busy_engines(engines: usize, free_interval: usize) -> (UpstreamList, EngineTracker) {
    let all: Vec<_> = (0..engines).map(engine).collect();
    let mut tracker = EngineTracker::default();
    for (index, upstream) in all.iter().enumerate() {
        let used_slots = match index % free_interval {
            0 => SLOTS - 1,
            _ => SLOTS,
        };
        (0..used_slots).for_each(|_| tracker.run_started(&upstream.id, 100));
        tracker.event_received(&upstream.id, 30.0 + (index % 17) as f64);
        tracker.version_seen(&upstream.id, &"small".into(), 4);
    }
    let mut upstreams = UpstreamList::default();
    upstreams.update(all, NOW);
    (upstreams, tracker)
}

fn placement_request() -> PlacementRequest<'static> {
    PlacementRequest {
        service: "fit",
        model: Some("small"),
        min_version: 4,
        queue_limit: 0,
        domain: "nord",
        cached_on: None,
        avoid: &[],
        tokens: 100,
        memory: EngineMemory::default(),
    }
}

/// Returns the time per choice, in microseconds, if all free slots are assigned in one round.
fn round_choice_us(engines: usize) -> f64 {
    let (upstreams, mut tracker) = busy_engines(engines, 1);
    let request = placement_request();
    let start = Instant::now();
    let mut round = PlacementRound::new(&tracker, &upstreams, &request, NOW);
    let mut chosen = 0;
    while let Some(upstream) = round.choose(&tracker, &upstreams, &request, NOW) {
        tracker.run_started(&upstream.id, request.tokens);
        chosen += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(chosen)
}

/// Returns the time of a single choice, in microseconds.
fn single_choice_us(engines: usize, free_interval: usize) -> f64 {
    let (upstreams, tracker) = busy_engines(engines, free_interval);
    let request = placement_request();
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(tracker.choose(black_box(&upstreams), &request, NOW));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

/// Returns the time to look for a better engine than a slow one, in microseconds.
fn better_choice_us(engines: usize) -> f64 {
    let (upstreams, mut tracker) = busy_engines(engines, 10);
    let current = engine(0).id;
    tracker.event_received(&current, 400.0);
    let request = placement_request();
    let start = Instant::now();
    for elapsed in 0..u64::from(ITERATIONS) {
        black_box(tracker.choose_better(
            black_box(&upstreams),
            &request,
            &current,
            40,
            NOW + elapsed,
        ));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

/// Returns the time to update the list of engines without changes, in microseconds.
fn unchanged_update_us(engines: usize) -> f64 {
    let all: Vec<_> = (0..engines).map(|index| Arc::new(engine(index))).collect();
    let mut upstreams = UpstreamList::default();
    upstreams.update_shared(all.iter().cloned(), NOW);
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(upstreams.update_shared(all.iter().cloned(), NOW));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

/// Runs the benchmark and prints its results.
pub(crate) fn run() {
    let mut table = Table::default();
    for engines in [62, 600, 3_000, 10_000] {
        for (name, free_interval) in [
            ("one slot on every tenth engine", 10),
            ("one slot on one engine", usize::MAX),
        ] {
            let row = format!("{engines} engines, {name} free: us per choice");
            table.row(
                row,
                format!("{:.1}", single_choice_us(engines, free_interval)),
            );
        }
        let row = format!(
            "{engines} engines, one slot on each free, all assigned in one round: us per choice"
        );
        table.row(row, format!("{:.1}", round_choice_us(engines)));
        let row = format!("{engines} engines: us per search for a better engine");
        table.row(row, format!("{:.1}", better_choice_us(engines)));
    }
    for engines in [62, 600, 3_000, 10_000] {
        let row = format!("{engines} engines, none changed: us per update of the list");
        table.row(row, format!("{:.0}", unchanged_update_us(engines)));
    }
    print!("{table}");
}
