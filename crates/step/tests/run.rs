//! Tests of the delivery, staleness and scheduling of samples.

use kernel::Name;
use kernel::plugin;
use proptest::prelude::*;
use step::Cursor;
use step::Policy;
use step::Run;
use step::Sample;
use step::Span;
use step::Spec;
use step::assembly::Partial;
use step::cursor::CursorError;
use step::run::Assignment;
use step::run::FinishResult;
use step::run::Task;
use step::spec::SpecError;
use yare::parameterized;

fn spec(groups: usize, group_size: u32, max_staleness: u64) -> Spec {
    Spec {
        model: "fitting".parse::<Name>().unwrap(),
        prompts: (0..groups).map(|g| format!("case {g}").into()).collect(),
        group_size,
        max_tokens: 800,
        max_staleness,
    }
}

fn run(spec: &Spec, policy: &str, cursor: &Cursor, trainer: u64) -> Run {
    let policy = plugin::find::<Policy>(policy).unwrap();
    Run::new(spec.clone(), policy, cursor, trainer)
}

fn start_next(run: &mut Run, now: u64) -> Option<Assignment> {
    match run.next_task() {
        Task::Start(next) => {
            run.mark_sent(next.index, next.ordinal, now);
            Some(next)
        }
        Task::Wait | Task::Done => None,
    }
}

fn sample(assignment: &Assignment, tokens: u32, version: u64) -> Sample {
    Sample {
        index: assignment.index,
        group: assignment.group,
        text: "x".into(),
        tokens,
        spans: vec![Span {
            from: 0,
            to: tokens,
            version,
        }],
        finish: "stop".into(),
        score: None,
    }
}

fn partial(tokens: u32, version: u64) -> Partial {
    Partial {
        text: "x".into(),
        tokens,
        spans: vec![Span {
            from: 0,
            to: tokens,
            version,
        }],
    }
}

#[test]
fn a_step_is_pulled_completely() {
    let spec = spec(2, 2, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(4), 1);
    while let Some(next) = start_next(&mut run, 0) {
        assert_eq!(
            run.finish(next.ordinal, sample(&next, 10, 1), 10),
            FinishResult::Accepted
        );
    }

    let first = run.pull(&Cursor::empty(4), 1, 3, 10);
    let second = run.pull(&first.cursor, 1, 3, 10);

    assert_eq!((first.samples.len(), first.done), (3, false));
    assert_eq!((second.samples.len(), second.done), (1, true));
    run.pull(&second.cursor, 1, 3, 10);
    assert_eq!(run.next_task(), Task::Done);
}

// Guards against missing samples, or a step that never ends: the response to a pull is lost, and
// the trainer pulls again with the same cursor. A sent sample must not count as delivered.
#[test]
fn a_lost_response_is_repeated() {
    let spec = spec(1, 3, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(3), 1);
    while let Some(next) = start_next(&mut run, 0) {
        run.finish(next.ordinal, sample(&next, 10, 1), 10);
    }

    let lost = run.pull(&Cursor::empty(3), 1, 2, 10);
    let again = run.pull(&Cursor::empty(3), 1, 2, 11);

    assert_eq!(lost, again);
}

// Guards against a sample that is trained on twice: an instance crashes after a response, and
// another one that knows nothing of it takes the step over. Deliveries must not be tracked by the
// service, whose record may be lost or out of date.
#[test]
fn another_instance_continues_from_the_cursor() {
    let spec = spec(1, 4, 1);
    let mut first = run(&spec, "longest", &Cursor::empty(4), 1);
    for _ in 0..2 {
        let next = start_next(&mut first, 0).unwrap();
        first.finish(next.ordinal, sample(&next, 10, 1), 10);
    }
    let batch = first.pull(&Cursor::empty(4), 1, 9, 10);

    let mut second = run(&spec, "longest", &batch.cursor, 1);
    let mut rest = Vec::new();
    while let Some(next) = start_next(&mut second, 0) {
        rest.push(next.index);
    }

    let delivered: Vec<_> = batch.samples.iter().map(|s| s.index).collect();
    assert_eq!(rest.len(), 2);
    assert!(rest.iter().all(|index| !delivered.contains(index)));
}

// Guards against a trainer that waits forever after it was restored from a checkpoint: it had
// pulled every sample, crashed, and pulls with the cursor of its checkpoint. The service must not
// insist that the samples were delivered.
#[test]
fn a_checkpoint_makes_samples_available_again() {
    let spec = spec(1, 2, 1);
    let full = Cursor::parse("Aw", 2).unwrap();
    let mut run = run(&spec, "longest", &full, 1);
    assert_eq!(run.next_task(), Task::Done);

    run.pull(&Cursor::empty(2), 1, 9, 0);

    assert!(start_next(&mut run, 0).is_some());
}

// Guards against samples beyond the trainer's staleness bound: a sample finishes in time and waits,
// and the trainer advances before it pulls. The bound must be checked at delivery too, against the
// version in the pull.
#[parameterized(
    fresh = { 2, 2, 1, 0 },
    at_bound = { 3, 2, 1, 0 },
    beyond = { 4, 2, 0, 1 },
)]
fn the_staleness_bound_holds_at_delivery(trainer: u64, version: u64, delivered: usize, stale: u64) {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 2);
    let next = start_next(&mut run, 0).unwrap();
    run.finish(next.ordinal, sample(&next, 10, version), 1);

    let batch = run.pull(&Cursor::empty(1), trainer, 9, 2);

    assert_eq!(batch.samples.len(), delivered);
    assert_eq!(run.counts().stale, stale);
    assert_eq!(start_next(&mut run, 3).is_some(), stale > 0);
}

// Guards against long samples that are generated, found stale and generated again without end:
// versions come every 10 s, a sample takes 16 s, the bound is 1, and it starts on the oldest
// version allowed now. The minimum version must leave room for the versions that come while it
// runs.
#[test]
fn a_sample_starts_on_weights_that_are_still_fresh_when_it_ends() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 1);
    run.set_trainer_version(2, 10_000);
    run.set_trainer_version(3, 20_000);

    let short = start_next(&mut run, 20_000).unwrap();
    run.fail(short.index, short.ordinal, Partial::default());
    let mut long = run;
    long.fail(0, 0, Partial::default());
    let short_version = short.min_version;

    assert_eq!(short_version, 2);
    let again = start_next(&mut long, 20_000).unwrap();
    long.fail(again.index, again.ordinal, partial(700, 3));
    assert_eq!(start_next(&mut long, 20_000).unwrap().min_version, 2);
}

// Guards against a sample that appears twice in a step, or mixes the text of two attempts: an
// attempt fails and is resumed, and the first one finishes after all. Only the current attempt may
// finish a sample.
#[test]
fn only_the_current_attempt_is_accepted() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 1);
    let first = start_next(&mut run, 0).unwrap();
    run.fail(first.index, first.ordinal, partial(5, 1));
    let second = start_next(&mut run, 0).unwrap();

    let late = run.finish(first.ordinal, sample(&first, 10, 1), 1);
    let current = run.finish(second.ordinal, sample(&second, 12, 1), 1);

    assert_eq!(
        (late, current),
        (FinishResult::Superseded, FinishResult::Accepted)
    );
    assert_eq!(second.partial, partial(5, 1));
    assert!(!run.record_progress(first.index, first.ordinal, 3));
}

#[test]
fn stale_partial_output_is_not_resumed() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 5);
    let first = start_next(&mut run, 0).unwrap();

    run.fail(first.index, first.ordinal, partial(5, 3));

    assert_eq!(start_next(&mut run, 0).unwrap().partial, Partial::default());
    assert_eq!(run.counts().wasted, 5);
}

// Guards against a step that waits for one sample that was started last and is thirty times as long
// as the median: groups differ in length, and the long group is last in the step. The order must
// use the length of the group's first sample.
#[test]
fn long_groups_start_first_once_one_sample_has_finished() {
    let spec = spec(3, 3, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(9), 1);
    for tokens in [10, 20, 600] {
        let probe = start_next(&mut run, 0).unwrap();
        run.finish(probe.ordinal, sample(&probe, tokens, 1), 10);
    }

    assert_eq!(start_next(&mut run, 10).unwrap().group, 2);
}

#[test]
fn a_sample_on_a_slow_engine_is_moved_a_limited_number_of_times() {
    let spec = spec(1, 5, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(5), 1);
    for _ in 0..5 {
        let next = start_next(&mut run, 0).unwrap();
        let tokens = if next.index == 2 { 10 } else { 100 };
        run.record_progress(next.index, next.ordinal, tokens);
    }

    let mut moves = Vec::new();
    for _ in 0..5 {
        let chosen = run.pick_moves(1_000);
        moves.push(chosen.len());
        for (index, ordinal) in chosen {
            run.fail(index, ordinal, partial(10, 1));
            start_next(&mut run, 0);
        }
    }

    assert_eq!(moves, [1, 1, 0, 0, 0]);
}

// Guards against samples that are moved without end, so that the step takes longer than without
// moves: many samples wait for an engine. Their token rate must not be measured from when they
// began to wait, or the wait looks like a slow engine.
#[test]
fn a_sample_that_waits_for_an_engine_is_not_slow() {
    let spec = spec(1, 6, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(6), 1);
    for _ in 0..5 {
        let next = start_next(&mut run, 0).unwrap();
        run.record_progress(next.index, next.ordinal, 100);
    }
    let Task::Start(_unsent) = run.next_task() else {
        panic!("nothing to begin");
    };

    assert_eq!(run.pick_moves(1_000), []);
}

#[parameterized(
    not_base64 = { "?", CursorError::InvalidBase64 },
    long = { "AAAA", CursorError::Length },
    bits_beyond_total = { "_w", CursorError::Length },
)]
fn invalid_cursors_are_rejected(text: &str, expected: CursorError) {
    assert_eq!(Cursor::parse(text, 4), Err(expected));
}

#[parameterized(
    no_groups = { spec(0, 1, 1), SpecError::NoGroups },
    no_samples = { spec(1, 0, 1), SpecError::NoSamples },
    many = { spec(2, 65_536, 1), SpecError::TooManySamples },
    tokens = { Spec { max_tokens: 0, ..spec(1, 1, 1) }, SpecError::TokensOutOfRange },
)]
fn invalid_specs_are_rejected(spec: Spec, expected: SpecError) {
    assert_eq!(spec.check(), Err(expected));
}

/// One event in a run of two instances that may both run the step.
#[derive(Clone, Debug)]
enum Event {
    Start {
        instance: usize,
    },
    Finish {
        instance: usize,
        late: bool,
    },
    Fail {
        instance: usize,
    },
    Pull {
        instance: usize,
        lost: bool,
        limit: usize,
    },
    Crash {
        instance: usize,
    },
    AdvanceVersion,
}

fn event() -> impl Strategy<Value = Event> {
    let index = 0usize..2;
    prop_oneof![
        6 => index.clone().prop_map(|instance| Event::Start { instance }),
        5 => (index.clone(), any::<bool>()).prop_map(|(instance, late)| Event::Finish { instance, late }),
        2 => index.clone().prop_map(|instance| Event::Fail { instance }),
        4 => (index.clone(), any::<bool>(), 0usize..4)
            .prop_map(|(instance, lost, limit)| Event::Pull { instance, lost, limit }),
        1 => index.prop_map(|instance| Event::Crash { instance }),
        1 => Just(Event::AdvanceVersion),
    ]
}

/// The state of the trainer, independent of the code under test.
struct Trainer {
    cursor: Cursor,
    received: Vec<u32>,
    version: u64,
}

proptest! {
    // Checks the delivery guarantees: with crashes, duplicate and late results, lost responses and
    // two owners in any order, the trainer receives no sample twice and none beyond its staleness
    // bound, and the step completes once the faults end.
    #[test]
    fn exactly_once_and_fresh(events in prop::collection::vec(event(), 1..120)) {
        let spec = spec(3, 2, 1);
        let mut trainer = Trainer { cursor: Cursor::empty(6), received: Vec::new(), version: 1 };
        let new_run = |t: &Trainer| run(&spec, "longest", &t.cursor, t.version);
        let mut runs = [new_run(&trainer), new_run(&trainer)];
        let mut in_flight: [Vec<(Assignment, u64)>; 2] = [Vec::new(), Vec::new()];
        let mut now = 0;
        for event in events {
            now += 10;
            match event {
                Event::Start { instance } => {
                    if let Some(next) = start_next(&mut runs[instance], now) {
                        let version = next.min_version.max(trainer.version - 1);
                        in_flight[instance].push((next, version));
                    }
                }
                Event::Finish { instance, late } => {
                    if let Some((next, version)) = in_flight[instance].pop() {
                        runs[instance].finish(next.ordinal, sample(&next, 10, version), now);
                        if late {
                            runs[instance].finish(next.ordinal, sample(&next, 11, version), now);
                        }
                    }
                }
                Event::Fail { instance } => {
                    if let Some((next, version)) = in_flight[instance].pop() {
                        runs[instance].fail(next.index, next.ordinal, partial(3, version));
                    }
                }
                Event::Pull { instance, lost, limit } => {
                    let batch = runs[instance].pull(&trainer.cursor, trainer.version, limit, now);
                    if !lost {
                        for sample in &batch.samples {
                            prop_assert!(!trainer.received.contains(&sample.index));
                            prop_assert!(sample.staleness(trainer.version) <= spec.max_staleness);
                            trainer.received.push(sample.index);
                        }
                        trainer.cursor = batch.cursor;
                    }
                }
                Event::Crash { instance } => {
                    runs[instance] = new_run(&trainer);
                    in_flight[instance].clear();
                }
                Event::AdvanceVersion => trainer.version += 1,
            }
        }
        let mut last = new_run(&trainer);
        for _ in 0..6 {
            let batch = last.pull(&trainer.cursor, trainer.version, 9, now);
            trainer.received.extend(batch.samples.iter().map(|s| s.index));
            trainer.cursor = batch.cursor;
            while let Some(next) = start_next(&mut last, now) {
                last.finish(next.ordinal, sample(&next, 10, trainer.version), now);
            }
        }
        trainer.received.sort_unstable();
        prop_assert_eq!(trainer.received, [0, 1, 2, 3, 4, 5]);
    }
}
