//! Tests of which runs move to faster engines, and of the pace that engines report.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use place::EngineMemory;
use place::EngineTracker;
use place::MoveReason;
use place::PaceOutcome;
use place::PlacementRequest;
use place::RecentGaps;
use place::StepEnd;
use place::UnfinishedSample;
use table::Incarnation;
use table::Upstream;
use table::UpstreamList;
use yare::parameterized;

/// Event gap of an ordinary engine, in milliseconds.
const USUAL_GAP: u64 = 48;

/// Event gap that a late event or an engine that processes prompts causes, in milliseconds.
const LATE_GAP: u64 = 150;

/// Time until the first event after a move, in milliseconds.
const MOVE_COST: u64 = 60;

fn upstream_list(ids: &[Arc<str>]) -> UpstreamList {
    let engine = |id: &Arc<str>| Upstream {
        id: id.clone(),
        incarnation: Incarnation {
            name: id.clone(),
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "nord".into(),
        slots: 4,
        leaving: false,
        spot: false,
        weights: vec![("m".into(), 1)],
    };
    let mut list = UpstreamList::default();
    list.update(ids.iter().map(engine).collect(), 0);
    list
}

fn request() -> PlacementRequest<'static> {
    PlacementRequest {
        service: "fit",
        model: Some("m"),
        min_version: 1,
        queue_limit: 0,
        domain: "nord",
        cached_on: None,
        avoid: &[],
        tokens: 0,
        memory: EngineMemory::default(),
    }
}

/// A run of the replay; groups have four samples each.
struct Run {
    engine: Arc<str>,
    gaps: RecentGaps,
    done: u32,
    total: u32,
    received: u32,
}

/// Which moves a replay makes.
#[derive(Clone, Copy, PartialEq)]
enum Moves {
    All,
    Critical,
}

/// Replays a step on engines with these event gaps, with one late event in `late_every` on average. Returns the number
/// of moves and the time at which the last sample ends.
fn replay(totals: &[u32], gaps: &[u64], late_every: u64, moves: Moves, seed: u64) -> (u32, u64) {
    let ids: Vec<Arc<str>> = (0..gaps.len())
        .map(|engine| format!("e{engine:02}").into())
        .collect();
    let list = upstream_list(&ids);
    let mut tracker = EngineTracker::default();
    tracker.sample_finished(100, 1);
    // Earlier steps have measured the engines, all of which were equally fast then.
    for id in &ids {
        (0..20).for_each(|_| tracker.event_received(id, USUAL_GAP as f64));
    }
    let mut random = 0x9E37_79B9_7F4A_7C15 ^ seed;
    let mut gap_of = |id: &Arc<str>| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let engine = ids.iter().position(|other| other == id).unwrap();
        match random.is_multiple_of(late_every) {
            true => LATE_GAP.max(gaps[engine]),
            false => gaps[engine] + (random >> 32) % 9 - 4,
        }
    };
    let (mut runs, mut events) = (Vec::new(), BinaryHeap::new());
    for (index, total) in totals.iter().enumerate() {
        let engine = tracker.choose(&list, &request(), 0).unwrap().id.clone();
        tracker.run_started(&engine, 0);
        events.push(Reverse((gap_of(&engine), index, 0)));
        runs.push(Run {
            engine,
            gaps: RecentGaps::default(),
            done: 0,
            total: *total,
            received: 0,
        });
    }
    let (mut moved, mut end) = (0, 0);
    while let Some(Reverse((now, index, previous))) = events.pop() {
        let run = &mut runs[index];
        (run.done, run.received) = (run.done + 1, run.received + 1);
        if run.received > 1 {
            let gap = (now - previous) as f64;
            run.gaps.record(gap);
            tracker.event_received(&run.engine, gap);
        }
        if run.done == run.total {
            tracker.run_ended(&run.engine, 0);
            end = now;
            continue;
        }
        let target = match run.received.is_multiple_of(4) {
            true => better_engine(&tracker, &list, &runs, index, moves, now),
            false => None,
        };
        let run = &mut runs[index];
        let mut next = now + gap_of(&run.engine);
        if let Some(target) = target {
            tracker.run_ended(&run.engine, 0);
            tracker.run_started(&target.id, 0);
            run.engine = target.id.clone();
            (run.gaps, run.received) = (RecentGaps::default(), 0);
            next = now + MOVE_COST;
            moved += 1;
        }
        events.push(Reverse((next, index, now)));
    }
    (moved, end)
}

fn better_engine(
    tracker: &EngineTracker,
    list: &UpstreamList,
    runs: &[Run],
    index: usize,
    moves: Moves,
    now: u64,
) -> Option<Arc<Upstream>> {
    let run = &runs[index];
    let remaining = run.total - run.done;
    if moves == Moves::All {
        return tracker.choose_better(list, &request(), &run.engine, remaining, now);
    }
    let (better, _) =
        tracker.choose_confirmed(list, &request(), &run.engine, remaining, &run.gaps, now)?;
    let time = |run: &Run| {
        tracker.remaining_time(Some(&run.engine), run.total * 100, u64::from(run.done), now)
    };
    let unfinished = runs
        .iter()
        .enumerate()
        .filter(|(_, run)| run.done < run.total);
    let samples = unfinished.map(|(index, run)| running(index / 4, time(run)));
    let end = StepEnd::estimate(samples, runs.len() as u32);
    end.is_decided_by(index / 4, time(run)).then_some(better)
}

fn running(group: usize, remaining: f64) -> UnfinishedSample {
    UnfinishedSample {
        group,
        carried_over: false,
        waiting: false,
        remaining,
    }
}

/// A step of 32 samples, every eighth of them long.
fn mixed_step() -> Vec<u32> {
    (0..32)
        .map(|index| if index % 8 == 3 { 144 } else { 40 })
        .collect()
}

/// Twelve engines, a third of which are 1.3 times slower.
fn mixed_engines() -> Vec<u64> {
    (0..12)
        .map(|engine| if engine % 3 == 0 { 62 } else { USUAL_GAP })
        .collect()
}

/// Replays a step with different late events; returns the sums of moves and of end times.
fn replays(totals: &[u32], gaps: &[u64], late_every: u64, moves: Moves) -> (u32, u64) {
    let results = (0..20).map(|seed| replay(totals, gaps, late_every, moves, seed * 7_919));
    results.fold((0, 0), |sum, (moved, end)| (sum.0 + moved, sum.1 + end))
}

// Guards against runs that are broken off although their step ends no sooner: 2,139 runs were moved in a day, most of
// them of samples that would have ended long before the last one of their step.
#[test]
fn only_samples_that_decide_the_end_of_the_step_move() {
    let (totals, engines) = (mixed_step(), mixed_engines());

    let (all, end_with_all) = replays(&totals, &engines, 20, Moves::All);
    let (critical, end) = replays(&totals, &engines, 20, Moves::Critical);

    assert!(
        critical > 0 && critical * 3 <= all,
        "{critical} of {all} moves"
    );
    assert!(end <= end_with_all, "{end} ms, {end_with_all} ms before");
}

// Guards against moves between equally fast engines after single late events: with few events measured, one gap of
// 150 ms raised an engine's mean gap enough for all its runs to leave it.
#[parameterized(
    rare = { 100, 0 },
    frequent = { 20, 10 },
)]
fn late_events_cause_no_moves(late_every: u64, max_moves: u32) {
    let (totals, engines) = ([144; 16], [USUAL_GAP; 12]);

    let (all, _) = replays(&totals, &engines, late_every, Moves::All);
    let (critical, _) = replays(&totals, &engines, late_every, Moves::Critical);

    assert!(all > 50, "{all} moves");
    assert!(critical <= max_moves, "{critical} moves");
}

// Guards against an engine that attracts all runs since its first measurement was one short gap.
#[test]
fn engine_measured_over_few_events_attracts_no_runs() {
    let ids = ["a".into(), "b".into(), "c".into()];
    let mut tracker = EngineTracker::default();
    let mut gaps = RecentGaps::default();
    for _ in 0..20 {
        gaps.record(48.0);
        ids[..2]
            .iter()
            .for_each(|id| tracker.event_received(id, 48.0));
    }
    tracker.event_received(&ids[2], 5.0);
    let list = upstream_list(&ids);

    let better = tracker.choose_better(&list, &request(), "a", 100, 0);
    let confirmed = tracker.choose_confirmed(&list, &request(), "a", 100, &gaps, 0);

    assert!(better.is_some() && confirmed.is_none());
}

// Guards against a step that ends late since its longest sample stays on an engine that has become four times slower.
#[parameterized(
    among_short_ones = { &[144, 30, 30, 30] },
    alone = { &[144] },
)]
fn longest_sample_leaves_a_slow_engine(totals: &[u32]) {
    let engines = [4 * USUAL_GAP, USUAL_GAP, USUAL_GAP];

    let (moved, end) = replay(totals, &engines, 1_000_000, Moves::Critical, 0);

    assert!((1..=2).contains(&moved), "{moved} moves");
    // It would end after 27,600 ms on the slow engine, and after 6,900 ms on another one.
    assert!(end < 8_000, "{end} ms");
}

// Guards against runs that stall since they stay on an engine that runs out of memory.
#[test]
fn run_leaves_an_engine_that_runs_out_of_memory_at_once() {
    let ids = ["full".into(), "free".into()];
    let list = upstream_list(&ids);
    let mut tracker = EngineTracker::default();
    ids.iter().for_each(|id| tracker.event_received(id, 48.0));
    (0..2).for_each(|_| tracker.run_started(&ids[0], 4_900));
    let request = PlacementRequest {
        tokens: 1_000,
        memory: EngineMemory {
            capacity_tokens: 10_000,
            event_tokens: 100,
        },
        ..request()
    };

    let better = tracker.choose_confirmed(&list, &request, "full", 5, &RecentGaps::default(), 0);

    let (engine, reason) = better.unwrap();
    assert_eq!((&*engine.id, reason), ("free", MoveReason::Memory));
}

// Guards against moves of samples in groups that the trainer does not wait for.
#[test]
fn sample_of_a_surplus_group_does_not_decide_the_end() {
    let samples = [running(0, 2_000.0), running(1, 900.0), running(2, 5_000.0)];

    let end = StepEnd::estimate(samples.into_iter(), 2);

    assert!(end.is_decided_by(0, 2_000.0));
    assert!(!end.is_decided_by(1, 900.0));
    assert!(!end.is_decided_by(2, 5_000.0));
}

// Guards against the longest sample staying on a slow engine since a surplus group, which starts last and waits for a
// slot, looks as if it could be complete sooner.
#[test]
fn group_that_waits_for_an_engine_is_expected_last() {
    let waiting = UnfinishedSample {
        waiting: true,
        ..running(1, 3_000.0)
    };

    let end = StepEnd::estimate([running(0, 5_000.0), waiting].into_iter(), 1);

    assert!(end.is_decided_by(0, 5_000.0));
}

// Guards against a group carried over from an earlier step that counts as surplus because it takes longest.
#[test]
fn carried_over_group_decides_the_end() {
    let carried = UnfinishedSample {
        carried_over: true,
        ..running(1, 5_000.0)
    };

    let end = StepEnd::estimate([running(0, 3_000.0), carried].into_iter(), 1);

    assert!(end.is_decided_by(1, 5_000.0));
    assert!(!end.is_decided_by(0, 3_000.0));
}

// Guards against moves for a trainer that can already continue.
#[test]
fn nothing_decides_the_end_of_a_step_that_nobody_waits_for() {
    let end = StepEnd::estimate([running(0, 3_000.0)].into_iter(), 0);

    assert!(!end.is_decided_by(0, 3_000.0));
}

fn chosen(tracker: &EngineTracker, now: u64) -> String {
    let list = upstream_list(&["a".into(), "b".into()]);
    tracker
        .choose(&list, &request(), now)
        .unwrap()
        .id
        .to_string()
}

// Guards against samples on engines that are known to be slow before anything was measured there.
#[test]
fn pace_decides_among_unmeasured_engines() {
    let mut tracker = EngineTracker::default();

    tracker.pace_reported(&"a".into(), 130, 0);

    assert_eq!(chosen(&tracker, 100), "b");
    // Reports expire, and measurements take precedence.
    assert_eq!(chosen(&tracker, 6_000), "a");
    tracker.event_received(&"a".into(), 40.0);
    tracker.event_received(&"b".into(), 44.0);
    assert_eq!(chosen(&tracker, 100), "a");
}

// Guards against choices that follow single values of a figure that changes many times a second.
#[test]
fn pace_is_smoothed() {
    let mut tracker = EngineTracker::default();
    for (now, percent) in [100, 100, 100, 400].into_iter().enumerate() {
        tracker.pace_reported(&"a".into(), percent, now as u64);
    }
    tracker.pace_reported(&"b".into(), 200, 0);

    assert_eq!(chosen(&tracker, 10), "a");
}

// Guards against an engine that attracts or loses all samples with a wrong figure, and that fills the log with it.
#[parameterized(
    zero = { 0 },
    too_small = { 9 },
    too_large = { 10_001 },
)]
fn invalid_pace_is_ignored(percent: u32) {
    let mut tracker = EngineTracker::default();

    let outcomes = [0, 1, 10_000].map(|now| tracker.pace_reported(&"b".into(), percent, now));

    let logged = PaceOutcome::IgnoredAndLog;
    assert_eq!(outcomes, [logged, PaceOutcome::Ignored, logged]);
    assert_eq!(chosen(&tracker, 10_000), "a");
    tracker.pace_reported(&"a".into(), 101, 10_000);
    assert_eq!(chosen(&tracker, 10_000), "b");
}
