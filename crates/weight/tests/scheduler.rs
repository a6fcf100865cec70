//! Tests of the scheduling of loads on engines that several models share.

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

/// Targets that accept only the newest version.
fn targets(all: &[(&str, Version)]) -> Map<Arc<str>, Target> {
    all.iter()
        .map(|(name, version)| ((*name).into(), starting(*version, *version)))
        .collect()
}

/// A target while the samples of a step start.
fn starting(newest: Version, oldest: Version) -> Target {
    Target {
        newest,
        oldest,
        ..Target::default()
    }
}

/// A target after the samples of a step have started.
fn started(newest: Version, oldest: Version) -> Target {
    Target {
        refresh_accepted: true,
        ..starting(newest, oldest)
    }
}

fn ids(
    scheduler: &mut LoadScheduler,
    engines: &[EngineState],
    max_loads: usize,
    all: &[(&str, Version)],
) -> Vec<String> {
    let loads = scheduler.schedule(engines, max_loads, &targets(all));
    loads.iter().map(|load| load.id.to_string()).collect()
}

#[test]
fn engines_are_shared_evenly_between_models() {
    let engines: Vec<_> = (0..11)
        .map(|index| engine(&format!("e{index:02}"), &[("a", 1), ("b", 1)], 0))
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

// Guards against loads of the other model's version on every engine after a change of leader. The new
// leader does not know the previous assignment, so an engine continues with the model of which it holds
// the newest version.
#[test]
fn a_new_leader_continues_the_assignment_of_the_previous_one() {
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
fn a_joining_or_leaving_engine_moves_at_most_one_engine() {
    let all = |count: usize| -> Vec<_> {
        (0..count)
            .map(|index| engine(&format!("e{index}"), &[("a", 1), ("b", 1)], 0))
            .collect()
    };
    let mut scheduler = LoadScheduler::default();
    let announced = targets(&[("a", 2), ("b", 2)]);
    scheduler.schedule(&all(8), 8, &announced);
    let before: Vec<_> = (0..7)
        .map(|index| scheduler.assigned_model(&format!("e{index}")).cloned())
        .collect();

    scheduler.schedule(&all(7), 8, &announced);

    let after: Vec<_> = (0..7)
        .map(|index| scheduler.assigned_model(&format!("e{index}")).cloned())
        .collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed <= 1);
}

/// Engines of one model with these versions.
fn engines(versions: &[Version]) -> Vec<EngineState> {
    let all = versions.iter().enumerate();
    all.map(|(index, version)| engine(&format!("e{index}"), &[("m", *version)], 0))
        .collect()
}

fn loads(engines: &[EngineState], target: Target) -> usize {
    let targets = [("m".into(), target)].into_iter().collect();
    LoadScheduler::default()
        .schedule(engines, 8, &targets)
        .len()
}

// Guards against samples that start one to three seconds late: a version is announced and the next step
// is requested at the same moment, and all engines of the model are ordered to load in two waves of a
// second each, although the step accepts the version that they hold.
#[test]
fn engines_with_an_accepted_version_do_not_load_while_samples_start() {
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
    let count = loads(&engines(&[3, 4, 5, 3]), starting(5, 4));

    assert_eq!(count, 2);
}

#[test]
fn at_most_half_of_the_engines_load_at_the_same_time() {
    let mut engines = engines(&[1, 1, 1, 1]);
    engines[0].busy = true;
    engines[3].busy = true;

    let count = loads(&engines, started(2, 1));

    assert_eq!(count, 0);
}

#[test]
fn a_new_leader_derives_the_accepted_lag_from_earlier_steps() {
    let mut demand = Demand::default();
    demand.record_announcement(9, 0);

    for least in [1, 5, 8] {
        demand.record_step(least, 1, 0, 0);
    }
    demand.record_announcement(10, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (10, 9));
}

#[test]
fn a_version_that_an_open_step_does_not_accept_is_not_a_target() {
    let mut demand = Demand::default();
    demand.record_announcement(3, 0);
    demand.record_step(1, 1, 0, 0);

    demand.record_step(3, 1, 0, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (3, 3));
}

// Guards against all engines loading the first announced version although half would suffice: the first
// steps are opened before any announcement, and the next one accepts the same versions. The accepted lag
// must not be derived only from steps that accept fewer versions than those before.
#[test]
fn steps_before_the_first_announcement_do_not_determine_the_accepted_lag() {
    let mut demand = Demand::default();
    demand.record_step(1, 1, 0, 0);
    demand.record_step(1, 1, 0, 0);
    demand.record_announcement(2, 0);

    demand.record_step(1, 1, 0, 0);

    assert_eq!((demand.target(0).newest, demand.target(0).oldest), (2, 1));
}

// Guards against engines of the busiest model that never load before its next step: loads of several
// models are due, few may run at a time, and the idlest engines go first. A load delays no running
// request, so the model whose next step comes first must go first.
#[test]
fn the_version_that_was_announced_first_is_loaded_first() {
    let engines = [
        engine("a", &[("busy", 1), ("idle", 1)], 9),
        engine("b", &[("busy", 1), ("idle", 1)], 0),
    ];
    let announced = |announced_at| Target {
        announced_at,
        ..started(2, 1)
    };
    let targets = [
        ("busy".into(), announced(0)),
        ("idle".into(), announced(500)),
    ];

    let loads = LoadScheduler::default().schedule(&engines, 1, &targets.into_iter().collect());

    assert_eq!(
        loads.iter().map(|load| &*load.model).collect::<Vec<_>>(),
        ["busy"]
    );
}

// Guards against steps of one model that wait for slots while engines of another are idle: the steps of
// one trainer have three times the samples of the other's, and each model gets as many engines.
#[test]
fn a_model_gets_engines_in_proportion_to_its_work() {
    let engines: Vec<_> = (0..8)
        .map(|index| engine(&format!("e{index}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let targets = [("a", 3_000), ("b", 1_000)].map(|(model, work)| {
        let target = Target {
            work,
            ..starting(2, 2)
        };
        (model.into(), target)
    });
    let mut scheduler = LoadScheduler::default();

    scheduler.schedule(&engines, 8, &targets.into_iter().collect());

    let assigned = (0..8).filter_map(|index| scheduler.assigned_model(&format!("e{index}")));
    assert_eq!(assigned.filter(|model| &***model == "a").count(), 6);
}

// Guards against engines that move between models with each step and load versions that they did not
// need before, because the work of consecutive steps differs slightly.
#[test]
fn a_small_change_of_work_moves_no_engine() {
    let engines: Vec<_> = (0..8)
        .map(|index| engine(&format!("e{index}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let mut scheduler = LoadScheduler::default();
    let mut assigned = Vec::new();
    for work in [1_000, 1_250, 800] {
        let target = |work| Target {
            work,
            ..starting(2, 2)
        };
        let targets = [("a".into(), target(work)), ("b".into(), target(1_000))];

        scheduler.schedule(&engines, 8, &targets.into_iter().collect());

        let now = (0..8).map(|index| scheduler.assigned_model(&format!("e{index}")).cloned());
        assigned.push(now.collect::<Vec<_>>());
    }

    assert_eq!(assigned[0], assigned[1]);
    assert_eq!(assigned[0], assigned[2]);
}

// Guards against samples that wait for loads: with 3,000 engines and a trainer that opens a step of 344
// samples each 4 s, ordering all engines at each announcement took the leader longer than the time
// between two announcements.
#[test]
fn only_as_many_engines_load_as_the_samples_fill() {
    let mut all: Vec<_> = (0..3_000)
        .map(|index| engine(&format!("e{index:04}"), &[("m", 1)], 0))
        .collect();
    let mut scheduler = LoadScheduler::default();
    let mut demand = Demand::default();
    let mut used = std::collections::BTreeSet::new();
    let mut orders = 0;
    for step in 1..=5 {
        let opened_at = step * 4_000;
        demand.record_announcement(step + 1, opened_at);
        demand.record_step(step, 1, 344, opened_at);
        for now in (opened_at..opened_at + 4_000).step_by(1_000) {
            let targets = [("m".into(), demand.target(now))].into_iter().collect();
            let loads = scheduler.schedule(&all, 600, &targets);
            orders += loads.len();
            for load in loads {
                used.insert(load.id.to_string());
                let engine = all.iter_mut().find(|engine| engine.id == load.id).unwrap();
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
        .map(|index| engine(&format!("e{index}"), &[("m", 1)], 0))
        .collect();
    let targets = [("m".into(), demand.target(9_000))].into_iter().collect();
    let first = scheduler.schedule(&all, 9, &targets);

    let rest: Vec<_> = all
        .into_iter()
        .filter(|engine| engine.id != first[0].id)
        .collect();
    let second = scheduler.schedule(&rest, 9, &targets);

    assert_eq!((first.len(), second.len()), (4, 4));
    assert!(second.iter().all(|load| load.id != first[0].id));
}

// Guards against loads on engines that a new leader assigns to another model only because it lists the engines in
// another order.
#[test]
fn assignment_does_not_depend_on_the_order_of_engines() {
    let models = [("a", 1), ("b", 1), ("c", 1)];
    let mut engines: Vec<_> = (0..20)
        .map(|index| engine(&format!("e{index:02}"), &models, 0))
        .collect();
    let targets = [("a", 3_000), ("b", 1_000), ("c", 1_000)].map(|(model, work)| {
        let target = Target {
            work,
            ..starting(2, 2)
        };
        (model.into(), target)
    });
    let targets = targets.into_iter().collect();
    let (mut first, mut second) = (LoadScheduler::default(), LoadScheduler::default());

    first.schedule(&engines, 20, &targets);
    engines.reverse();
    second.schedule(&engines, 20, &targets);

    for engine in &engines {
        assert_eq!(
            first.assigned_model(&engine.id),
            second.assigned_model(&engine.id),
            "{}",
            engine.id
        );
    }
}
