//! What choosing an engine for one sample costs, by the number of engines.

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

/// Choices that are timed together.
const TIMES: u32 = 400;

/// Places of an engine.
const SLOTS: u32 = 6;

/// A time at which everything is known.
const NOW: Millis = 10_000;

fn listed(at: usize) -> Upstream {
    let name: Arc<str> = format!("i-{at:010x}").into();
    Upstream {
        id: name.clone(),
        incarnation: Incarnation {
            name,
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: ["nord", "syd"][at % 2].into(),
        slots: SLOTS,
        leaving: false,
        spot: false,
        weights: vec![("large".into(), 7), ("small".into(), 3 + at as u64 % 2)],
    }
}

/// Engines all of whose places are taken but one in `free`.
fn fleet(engines: usize, free: usize) -> (UpstreamList, EngineTracker) {
    let all: Vec<_> = (0..engines).map(listed).collect();
    let mut fleet = EngineTracker::default();
    for (at, one) in all.iter().enumerate() {
        let taken = match at % free {
            0 => SLOTS - 1,
            _ => SLOTS,
        };
        (0..taken).for_each(|_| fleet.run_started(&one.id, 100));
        fleet.event_received(&one.id, 30.0 + (at % 17) as f64);
        fleet.version_seen(&one.id, &"small".into(), 4);
    }
    let mut roster = UpstreamList::default();
    roster.update(all, NOW);
    (roster, fleet)
}

fn want() -> PlacementRequest<'static> {
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

/// Microseconds of one choice among many at the same moment.
fn together(engines: usize) -> f64 {
    let (roster, mut fleet) = fleet(engines, 1);
    let want = want();
    let begun = Instant::now();
    let mut round = PlacementRound::new(&fleet, &roster, &want, NOW);
    let mut chosen = 0;
    while let Some(one) = round.choose(&fleet, &roster, &want, NOW) {
        fleet.run_started(&one.id, want.tokens);
        chosen += 1;
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(chosen)
}

/// Microseconds of one choice.
fn choice(engines: usize, free: usize) -> f64 {
    let (roster, fleet) = fleet(engines, free);
    let want = want();
    let begun = Instant::now();
    for _ in 0..TIMES {
        black_box(fleet.choose(black_box(&roster), &want, NOW));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES)
}

/// Microseconds of looking for a better engine than a slow one.
fn better(engines: usize) -> f64 {
    let (roster, mut fleet) = fleet(engines, 10);
    let here = listed(0).id;
    fleet.event_received(&here, 400.0);
    let want = want();
    let begun = Instant::now();
    for at in 0..u64::from(TIMES) {
        black_box(fleet.choose_better(black_box(&roster), &want, &here, 40, NOW + at));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES)
}

/// Microseconds of taking in a list of which nothing has changed.
fn list(engines: usize) -> f64 {
    let all: Vec<_> = (0..engines).map(|at| Arc::new(listed(at))).collect();
    let mut roster = UpstreamList::default();
    roster.update_shared(all.iter().cloned(), NOW);
    let begun = Instant::now();
    for _ in 0..TIMES {
        black_box(roster.update_shared(all.iter().cloned(), NOW));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES)
}

/// Runs the measurement.
pub(crate) fn run() {
    let mut table = Table::default();
    for engines in [62, 600, 3_000, 10_000] {
        for (name, free) in [("one place in ten", 10), ("no place", usize::MAX)] {
            let row = format!("{engines} engines, {name} free: us a choice");
            table.row(row, format!("{:.1}", choice(engines, free)));
        }
        let row = format!("{engines} engines, a place at each, all taken together: us a choice");
        table.row(row, format!("{:.1}", together(engines)));
        let row = format!("{engines} engines: us of a look for a better one");
        table.row(row, format!("{:.1}", better(engines)));
    }
    for engines in [62, 600, 3_000, 10_000] {
        let row = format!("{engines} engines, nothing new: us a list");
        table.row(row, format!("{:.0}", list(engines)));
    }
    print!("{table}");
}
