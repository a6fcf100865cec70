//! Tests of steps: delivery, staleness, order.

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

fn begin(run: &mut Run, now: u64) -> Option<Assignment> {
    match run.next_task() {
        Task::Start(begin) => {
            run.mark_sent(begin.index, begin.ordinal, now);
            Some(begin)
        }
        Task::Wait | Task::Done => None,
    }
}

fn sample(begin: &Assignment, tokens: u32, version: u64) -> Sample {
    Sample {
        index: begin.index,
        group: begin.group,
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
fn a_step_is_pulled_whole() {
    let spec = spec(2, 2, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(4), 1);
    while let Some(next) = begin(&mut run, 0) {
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

// Symptom: samples are missing from a step, or the step never ends.
// Sequence: the answer to a pull is lost; the trainer pulls again with the same cursor.
// Cause: counting a sample as delivered when it was sent.
#[test]
fn a_lost_answer_is_given_again() {
    let spec = spec(1, 3, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(3), 1);
    while let Some(next) = begin(&mut run, 0) {
        run.finish(next.ordinal, sample(&next, 10, 1), 10);
    }

    let lost = run.pull(&Cursor::empty(3), 1, 2, 10);
    let again = run.pull(&Cursor::empty(3), 1, 2, 11);

    assert_eq!(lost, again);
}

// Symptom: a sample is trained on twice.
// Sequence: an instance dies after an answer; another takes the step over and knows nothing of it.
// Cause: the service's own record of deliveries, which died or lagged.
#[test]
fn another_instance_goes_on_from_the_cursor() {
    let spec = spec(1, 4, 1);
    let mut one = run(&spec, "longest", &Cursor::empty(4), 1);
    for _ in 0..2 {
        let next = begin(&mut one, 0).unwrap();
        one.finish(next.ordinal, sample(&next, 10, 1), 10);
    }
    let got = one.pull(&Cursor::empty(4), 1, 9, 10);

    let mut two = run(&spec, "longest", &got.cursor, 1);
    let mut rest = Vec::new();
    while let Some(next) = begin(&mut two, 0) {
        rest.push(next.index);
    }

    let had: Vec<_> = got.samples.iter().map(|s| s.index).collect();
    assert_eq!(rest.len(), 2);
    assert!(rest.iter().all(|index| !had.contains(index)));
}

// Symptom: a trainer that came back from its checkpoint waits for ever.
// Sequence: it had pulled all, crashed, and pulls with the cursor of its checkpoint.
// Cause: a service that insists the samples were delivered.
#[test]
fn a_checkpoint_brings_samples_back() {
    let spec = spec(1, 2, 1);
    let full = Cursor::parse("Aw", 2).unwrap();
    let mut run = run(&spec, "longest", &full, 1);
    assert_eq!(run.next_task(), Task::Done);

    run.pull(&Cursor::empty(2), 1, 9, 0);

    assert!(begin(&mut run, 0).is_some());
}

// Symptom: a trainer learns from samples older than its bound.
// Sequence: a sample is finished in time, waits, and the trainer moves on before it pulls.
// Cause: the bound checked at the start only, or against the service's own idea of the version.
#[parameterized(
    fresh = { 2, 2, 1, 0 },
    at_bound = { 3, 2, 1, 0 },
    beyond = { 4, 2, 0, 1 },
)]
fn the_bound_holds_at_delivery(trainer: u64, version: u64, delivered: usize, stale: u64) {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 2);
    let next = begin(&mut run, 0).unwrap();
    run.finish(next.ordinal, sample(&next, 10, version), 1);

    let batch = run.pull(&Cursor::empty(1), trainer, 9, 2);

    assert_eq!(batch.samples.len(), delivered);
    assert_eq!(run.counts().stale, stale);
    assert_eq!(begin(&mut run, 3).is_some(), stale > 0);
}

// Symptom: long samples are made, found too old, and made again without end.
// Sequence: versions come every 10 s, a sample takes 16 s, the bound is 1; it is begun on the
// oldest version that is allowed now.
// Cause: no room left for the versions that come while it runs.
#[test]
fn a_sample_is_begun_on_weights_that_will_still_do_when_it_ends() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 1);
    run.set_trainer_version(2, 10_000);
    run.set_trainer_version(3, 20_000);

    let short = begin(&mut run, 20_000).unwrap();
    run.fail(short.index, short.ordinal, Partial::default());
    let mut long = run;
    long.fail(0, 0, Partial::default());
    let floor_short = short.min_version;

    assert_eq!(floor_short, 2);
    let again = begin(&mut long, 20_000).unwrap();
    long.fail(again.index, again.ordinal, partial(700, 3));
    assert_eq!(begin(&mut long, 20_000).unwrap().min_version, 2);
}

// Symptom: a sample comes twice into a step, or words of two runs are mixed.
// Sequence: an attempt fails and is resumed; the first one finishes after all.
// Cause: no single winner a sample.
#[test]
fn one_attempt_wins() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 1);
    let first = begin(&mut run, 0).unwrap();
    run.fail(first.index, first.ordinal, partial(5, 1));
    let second = begin(&mut run, 0).unwrap();

    let late = run.finish(first.ordinal, sample(&first, 10, 1), 1);
    let won = run.finish(second.ordinal, sample(&second, 12, 1), 1);

    assert_eq!(
        (late, won),
        (FinishResult::Superseded, FinishResult::Accepted)
    );
    assert_eq!(second.partial, partial(5, 1));
    assert!(!run.record_progress(first.index, first.ordinal, 3));
}

#[test]
fn what_an_attempt_left_is_not_resumed_when_too_old() {
    let spec = spec(1, 1, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(1), 5);
    let first = begin(&mut run, 0).unwrap();

    run.fail(first.index, first.ordinal, partial(5, 3));

    assert_eq!(begin(&mut run, 0).unwrap().partial, Partial::default());
    assert_eq!(run.counts().wasted, 5);
}

// Symptom: the step waits for one sample that was begun last and is thirty times the median.
// Sequence: groups differ in length; the order of the step puts the long group at the end.
// Cause: an order that ignores what the group's first sample has shown.
#[test]
fn long_groups_go_first_once_one_sample_shows_them() {
    let spec = spec(3, 3, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(9), 1);
    for tokens in [10, 20, 600] {
        let probe = begin(&mut run, 0).unwrap();
        run.finish(probe.ordinal, sample(&probe, tokens, 1), 10);
    }

    assert_eq!(begin(&mut run, 10).unwrap().group, 2);
}

#[test]
fn a_sample_on_a_slow_engine_is_moved_and_only_so_often() {
    let spec = spec(1, 5, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(5), 1);
    for _ in 0..5 {
        let next = begin(&mut run, 0).unwrap();
        let tokens = if next.index == 2 { 10 } else { 100 };
        run.record_progress(next.index, next.ordinal, tokens);
    }

    let mut moves = Vec::new();
    for _ in 0..5 {
        let chosen = run.pick_moves(1_000);
        moves.push(chosen.len());
        for (index, ordinal) in chosen {
            run.fail(index, ordinal, partial(10, 1));
            begin(&mut run, 0);
        }
    }

    assert_eq!(moves, [1, 1, 0, 0, 0]);
}

// Symptom: samples are moved about without end, and the step takes longer than without moves.
// Sequence: many samples wait for an engine; their speed counts from when they began to wait.
// Cause: taking the wait for slowness of an engine.
#[test]
fn a_sample_that_waits_for_an_engine_is_not_slow() {
    let spec = spec(1, 6, 1);
    let mut run = run(&spec, "longest", &Cursor::empty(6), 1);
    for _ in 0..5 {
        let next = begin(&mut run, 0).unwrap();
        run.record_progress(next.index, next.ordinal, 100);
    }
    let Task::Start(_waits) = run.next_task() else {
        panic!("nothing to begin");
    };

    assert_eq!(run.pick_moves(1_000), []);
}

#[parameterized(
    text = { "?", CursorError::Code },
    long = { "AAAA", CursorError::Length },
    beyond = { "_w", CursorError::Length },
)]
fn bad_cursors_are_refused(text: &str, expected: CursorError) {
    assert_eq!(Cursor::parse(text, 4), Err(expected));
}

#[parameterized(
    no_groups = { spec(0, 1, 1), SpecError::NoGroups },
    no_samples = { spec(1, 0, 1), SpecError::NoSamples },
    many = { spec(2, 65_536, 1), SpecError::Samples },
    tokens = { Spec { max_tokens: 0, ..spec(1, 1, 1) }, SpecError::Tokens },
)]
fn bad_specs_are_refused(spec: Spec, expected: SpecError) {
    assert_eq!(spec.check(), Err(expected));
}

/// One event of a run over two instances that may both believe they own the step.
#[derive(Clone, Debug)]
enum Event {
    Begin { on: usize },
    Finish { on: usize, late: bool },
    Fail { on: usize },
    Pull { on: usize, lost: bool, limit: usize },
    Crash { on: usize },
    Train,
}

fn event() -> impl Strategy<Value = Event> {
    let on = 0usize..2;
    prop_oneof![
        6 => on.clone().prop_map(|on| Event::Begin { on }),
        5 => (on.clone(), any::<bool>()).prop_map(|(on, late)| Event::Finish { on, late }),
        2 => on.clone().prop_map(|on| Event::Fail { on }),
        4 => (on.clone(), any::<bool>(), 0usize..4)
            .prop_map(|(on, lost, limit)| Event::Pull { on, lost, limit }),
        1 => on.prop_map(|on| Event::Crash { on }),
        1 => Just(Event::Train),
    ]
}

/// What the trainer has, kept apart from the code under test.
struct Trainer {
    cursor: Cursor,
    got: Vec<u32>,
    version: u64,
}

proptest! {
    // The model of the promises: over any order of crashes, doubled and late results, lost answers
    // and two owners, the trainer gets no sample twice and none beyond its bound, and once the
    // faults end the step becomes whole.
    #[test]
    fn exactly_once_and_fresh(events in prop::collection::vec(event(), 1..120)) {
        let spec = spec(3, 2, 1);
        let mut trainer = Trainer { cursor: Cursor::empty(6), got: Vec::new(), version: 1 };
        let fresh = |t: &Trainer| run(&spec, "longest", &t.cursor, t.version);
        let mut runs = [fresh(&trainer), fresh(&trainer)];
        let mut open: [Vec<(Assignment, u64)>; 2] = [Vec::new(), Vec::new()];
        let mut now = 0;
        for event in events {
            now += 10;
            match event {
                Event::Begin { on } => {
                    if let Some(next) = begin(&mut runs[on], now) {
                        let made_by = next.min_version.max(trainer.version - 1);
                        open[on].push((next, made_by));
                    }
                }
                Event::Finish { on, late } => {
                    if let Some((next, version)) = open[on].pop() {
                        runs[on].finish(next.ordinal, sample(&next, 10, version), now);
                        if late {
                            runs[on].finish(next.ordinal, sample(&next, 11, version), now);
                        }
                    }
                }
                Event::Fail { on } => {
                    if let Some((next, version)) = open[on].pop() {
                        runs[on].fail(next.index, next.ordinal, partial(3, version));
                    }
                }
                Event::Pull { on, lost, limit } => {
                    let batch = runs[on].pull(&trainer.cursor, trainer.version, limit, now);
                    if !lost {
                        for sample in &batch.samples {
                            prop_assert!(!trainer.got.contains(&sample.index));
                            prop_assert!(sample.staleness(trainer.version) <= spec.max_staleness);
                            trainer.got.push(sample.index);
                        }
                        trainer.cursor = batch.cursor;
                    }
                }
                Event::Crash { on } => {
                    runs[on] = fresh(&trainer);
                    open[on].clear();
                }
                Event::Train => trainer.version += 1,
            }
        }
        let mut last = fresh(&trainer);
        for _ in 0..6 {
            let batch = last.pull(&trainer.cursor, trainer.version, 9, now);
            trainer.got.extend(batch.samples.iter().map(|s| s.index));
            trainer.cursor = batch.cursor;
            while let Some(next) = begin(&mut last, now) {
                last.finish(next.ordinal, sample(&next, 10, trainer.version), now);
            }
        }
        trainer.got.sort_unstable();
        prop_assert_eq!(trainer.got, [0, 1, 2, 3, 4, 5]);
    }
}
