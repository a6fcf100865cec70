//! Loads of versions, when several models share the engines.

use std::sync::Arc;

use kernel::Map;
use weight::Demand;
use weight::Target;
use weight::Version;
use weight::scheduler::EngineState;
use weight::scheduler::LoadScheduler;

fn engine(id: &str, models: &[(&str, Version)], running: u32) -> EngineState {
    EngineState {
        id: id.into(),
        models: models
            .iter()
            .map(|(name, version)| ((*name).into(), *version))
            .collect(),
        running,
        slots: 6,
        busy: false,
    }
}

/// Aims for which only the newest version will do.
fn targets(all: &[(&str, Version)]) -> Map<Arc<str>, Target> {
    all.iter()
        .map(|(name, version)| ((*name).into(), old(*version, *version)))
        .collect()
}

/// An target while the samples of a step begin.
fn old(newest: Version, oldest: Version) -> Target {
    Target {
        newest,
        oldest,
        ..Target::default()
    }
}

/// An target after they have begun.
fn calm(newest: Version, oldest: Version) -> Target {
    Target {
        refresh_accepted: true,
        ..old(newest, oldest)
    }
}

fn ids(
    scheduler: &mut LoadScheduler,
    engines: &[EngineState],
    room: usize,
    all: &[(&str, Version)],
) -> Vec<String> {
    let loads = scheduler.schedule(engines, room, &targets(all));
    loads.iter().map(|load| load.id.to_string()).collect()
}

#[test]
fn engines_are_shared_evenly_between_models() {
    let engines: Vec<_> = (0..11)
        .map(|at| engine(&format!("e{at:02}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let mut scheduler = LoadScheduler::default();

    let loads = scheduler.schedule(&engines, 11, &targets(&[("a", 2), ("b", 2)]));

    let first = loads.iter().filter(|load| &*load.model == "a").count();
    assert_eq!(loads.len(), 11);
    assert!((5..=6).contains(&first));
}

#[test]
fn the_engine_that_is_most_behind_loads_first() {
    let engines = [
        engine("a", &[("m", 4)], 0),
        engine("b", &[("m", 2)], 9),
        engine("c", &[("m", 5)], 0),
    ];

    let first = ids(&mut LoadScheduler::default(), &engines, 1, &[("m", 5)]);

    assert_eq!(first, ["b"]);
}

#[test]
fn a_busy_engine_gets_no_order() {
    let mut engines = [engine("a", &[("m", 1)], 0), engine("b", &[("m", 1)], 0)];
    engines[0].busy = true;

    let loads = ids(&mut LoadScheduler::default(), &engines, 2, &[("m", 2)]);

    assert_eq!(loads, ["b"]);
}

// Symptom: after a change of holder every engine loads the other model's version.
// Sequence: the new holder knows nothing of how the engines were shared.
// Cause: an engine goes on with the model that has advanced most there.
#[test]
fn a_new_holder_goes_on_as_the_one_before() {
    let engines = [
        engine("a", &[("x", 7), ("y", 1)], 0),
        engine("b", &[("x", 1), ("y", 6)], 0),
    ];
    let mut scheduler = LoadScheduler::default();

    scheduler.schedule(&engines, 2, &targets(&[("x", 8), ("y", 7)]));

    assert_eq!(
        scheduler.assigned_model("a").map(|model| &**model),
        Some("x")
    );
    assert_eq!(
        scheduler.assigned_model("b").map(|model| &**model),
        Some("y")
    );
}

#[test]
fn an_engine_that_came_or_went_changes_little() {
    let all = |count: usize| -> Vec<_> {
        (0..count)
            .map(|at| engine(&format!("e{at}"), &[("a", 1), ("b", 1)], 0))
            .collect()
    };
    let mut scheduler = LoadScheduler::default();
    let news = targets(&[("a", 2), ("b", 2)]);
    scheduler.schedule(&all(8), 8, &news);
    let before: Vec<_> = (0..7)
        .map(|at| scheduler.assigned_model(&format!("e{at}")).cloned())
        .collect();

    scheduler.schedule(&all(7), 8, &news);

    let after: Vec<_> = (0..7)
        .map(|at| scheduler.assigned_model(&format!("e{at}")).cloned())
        .collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed <= 1);
}

/// Engines of one model with these versions.
fn engines(versions: &[Version]) -> Vec<EngineState> {
    let all = versions.iter().enumerate();
    all.map(|(at, version)| engine(&format!("e{at}"), &[("m", *version)], 0))
        .collect()
}

fn loads(engines: &[EngineState], target: Target) -> usize {
    let targets = [("m".into(), target)].into_iter().collect();
    LoadScheduler::default()
        .schedule(engines, 8, &targets)
        .len()
}

// Symptom: a step's samples begin one to three seconds late, and few engines are idle meanwhile.
// Sequence: a version is announced and the next step asked for in the same moment; all engines of
//   the model are ordered to load, two waves of a second each, though the step accepts what they have.
// Cause: loading what nobody needs yet in the moment in which samples begin.
#[test]
fn engines_that_the_new_step_accepts_go_on_serving_while_its_samples_begin() {
    let mut versions = [1; 8];
    let mut demand = Demand::default();
    demand.record_step(1, 1, 0, 0);
    for newest in 2..=9 {
        let now = newest * 4_000;
        demand.record_announcement(newest, now);
        demand.record_step(newest - 1, 1, 0, 0);

        let at_once = loads(&engines(&versions), demand.target(now + 150));

        assert_eq!(at_once, 0, "version {newest}");
        for wave in 0..2 {
            let later = demand.target(now + 2_000 + wave * 1_000);
            let half = loads(&engines(&versions), later);
            assert_eq!(half, 4);
            let start = wave as usize * half;
            versions[start..start + half].fill(newest);
        }
    }
}

#[test]
fn an_engine_that_the_new_step_does_not_accept_loads_at_once() {
    let count = loads(&engines(&[3, 4, 5, 3]), old(5, 4));

    assert_eq!(count, 2);
}

#[test]
fn half_of_the_engines_go_on_beginning_samples() {
    let mut engines = engines(&[1, 1, 1, 1]);
    engines[0].busy = true;
    engines[3].busy = true;

    let count = loads(&engines, calm(2, 1));

    assert_eq!(count, 0);
}

#[test]
fn a_new_holder_learns_from_old_steps_how_old_weights_may_be() {
    let mut demand = Demand::default();
    demand.record_announcement(9, 0);

    for least in [1, 5, 8] {
        demand.record_step(least, 1, 0, 0);
    }
    demand.record_announcement(10, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (10, 9));
}

#[test]
fn a_version_that_an_open_step_does_not_accept_is_not_worth_having() {
    let mut demand = Demand::default();
    demand.record_announcement(3, 0);
    demand.record_step(1, 1, 0, 0);

    demand.record_step(3, 1, 0, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (3, 3));
}

// Symptom: all engines load the first version that is announced, though half would do.
// Sequence: the first steps are opened before anything is announced; the next one accepts the
//   versions that they accepted.
// Cause: learning how old weights may be only from steps that accept less than those before.
#[test]
fn the_first_steps_say_nothing_of_how_old_weights_may_be() {
    let mut demand = Demand::default();
    demand.record_step(1, 1, 0, 0);
    demand.record_step(1, 1, 0, 0);
    demand.record_announcement(2, 0);

    demand.record_step(1, 1, 0, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (2, 1));
}

// Symptom: the engines of the model with the most work never load before its next step.
// Sequence: loads of several models are due and few may load at a time; the idlest engines go first.
// Cause: a load holds nothing up that runs; what matters is whose next step comes first.
#[test]
fn the_version_that_was_announced_first_is_loaded_first() {
    let engines = [
        engine("a", &[("busy", 1), ("idle", 1)], 9),
        engine("b", &[("busy", 1), ("idle", 1)], 0),
    ];
    let at = |announced_at| Target {
        announced_at,
        ..calm(2, 1)
    };
    let targets = [("busy".into(), at(0)), ("idle".into(), at(500))];

    let loads = LoadScheduler::default().schedule(&engines, 1, &targets.into_iter().collect());

    assert_eq!(
        loads.iter().map(|load| &*load.model).collect::<Vec<_>>(),
        ["busy"]
    );
}

// Symptom: one model's steps wait for places while engines of another model are idle.
// Sequence: one trainer's steps have three times the samples of the other one's.
// Cause: the same number of engines for each model, whatever its steps ask for.
#[test]
fn a_model_gets_engines_by_its_part_of_the_work() {
    let engines: Vec<_> = (0..8)
        .map(|at| engine(&format!("e{at}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let targets = [("a", 3_000), ("b", 1_000)].map(|(model, work)| {
        let target = Target { work, ..old(2, 2) };
        (model.into(), target)
    });
    let mut scheduler = LoadScheduler::default();

    scheduler.schedule(&engines, 8, &targets.into_iter().collect());

    let given = (0..8).filter_map(|at| scheduler.assigned_model(&format!("e{at}")));
    assert_eq!(given.filter(|model| &***model == "a").count(), 6);
}

// Symptom: engines go from model to model with each step, and load what nobody needed before.
// Sequence: the work of steps differs a little from one to the next.
// Cause: giving engines anew with each change of the work.
#[test]
fn a_little_more_work_moves_no_engine() {
    let engines: Vec<_> = (0..8)
        .map(|at| engine(&format!("e{at}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let mut scheduler = LoadScheduler::default();
    let mut given = Vec::new();
    for work in [1_000, 1_250, 800] {
        let target = |work| Target { work, ..old(2, 2) };
        let targets = [("a".into(), target(work)), ("b".into(), target(1_000))];

        scheduler.schedule(&engines, 8, &targets.into_iter().collect());

        let now = (0..8).map(|at| scheduler.assigned_model(&format!("e{at}")).cloned());
        given.push(now.collect::<Vec<_>>());
    }

    assert_eq!(given[0], given[1]);
    assert_eq!(given[0], given[2]);
}

// Load: 3,000 engines and a trainer whose steps have 344 samples each 4 s. Ordering all engines at each
// announcement took the leader longer than the time between two, and samples waited.
#[test]
fn no_more_engines_load_than_the_samples_fill() {
    let mut all: Vec<_> = (0..3_000)
        .map(|at| engine(&format!("e{at:04}"), &[("m", 1)], 0))
        .collect();
    let mut scheduler = LoadScheduler::default();
    let mut demand = Demand::default();
    let mut used = std::collections::BTreeSet::new();
    let mut orders = 0;
    for step in 1..=5 {
        let at = step * 4_000;
        demand.record_announcement(step + 1, at);
        demand.record_step(step, 1, 344, at);
        for now in (at..at + 4_000).step_by(1_000) {
            let targets = [("m".into(), demand.target(now))].into_iter().collect();
            let loads = scheduler.schedule(&all, 600, &targets);
            orders += loads.len();
            for load in loads {
                used.insert(load.id.to_string());
                let engine = all.iter_mut().find(|one| one.id == load.id).unwrap();
                engine.models = vec![("m".into(), load.version)];
            }
        }
    }

    // Three steps that overlap fill 172 engines; each loads once a step.
    assert!((115..=180).contains(&used.len()), "{}", used.len());
    assert!(orders <= 5 * 180, "{orders}");
}

#[test]
fn an_engine_that_is_gone_is_replaced_by_another_one() {
    let mut scheduler = LoadScheduler::default();
    let mut demand = Demand::default();
    demand.record_announcement(2, 0);
    demand.record_step(2, 1, 12, 0);
    let all: Vec<_> = (0..9)
        .map(|at| engine(&format!("e{at}"), &[("m", 1)], 0))
        .collect();
    let targets = [("m".into(), demand.target(9_000))].into_iter().collect();
    let first = scheduler.schedule(&all, 9, &targets);

    let rest: Vec<_> = all
        .into_iter()
        .filter(|one| one.id != first[0].id)
        .collect();
    let second = scheduler.schedule(&rest, 9, &targets);

    assert_eq!((first.len(), second.len()), (4, 4));
    assert!(second.iter().all(|load| load.id != first[0].id));
}

// Guards against loads of engines that change hands because a new leader lists them in another order.
#[test]
fn the_order_in_which_engines_are_listed_changes_nothing() {
    let models = [("a", 1), ("b", 1), ("c", 1)];
    let mut engines: Vec<_> = (0..20)
        .map(|at| engine(&format!("e{at:02}"), &models, 0))
        .collect();
    let targets = [("a", 3_000), ("b", 1_000), ("c", 1_000)].map(|(model, work)| {
        let target = Target { work, ..old(2, 2) };
        (model.into(), target)
    });
    let targets = targets.into_iter().collect();
    let (mut first, mut second) = (LoadScheduler::default(), LoadScheduler::default());

    first.schedule(&engines, 20, &targets);
    engines.reverse();
    second.schedule(&engines, 20, &targets);

    for one in &engines {
        assert_eq!(
            first.assigned_model(&one.id),
            second.assigned_model(&one.id),
            "{}",
            one.id
        );
    }
}
