//! Loads of versions, when several models share the engines.

use std::sync::Arc;

use kernel::Map;
use weight::Version;
use weight::swap::Seen;
use weight::swap::Swap;

fn seen(id: &str, models: &[(&str, Version)], running: u32) -> Seen {
    Seen {
        id: id.into(),
        models: models
            .iter()
            .map(|(name, version)| ((*name).into(), *version))
            .collect(),
        running,
        busy: false,
    }
}

fn targets(all: &[(&str, Version)]) -> Map<Arc<str>, Version> {
    all.iter()
        .map(|(name, version)| ((*name).into(), *version))
        .collect()
}

fn ids(swap: &mut Swap, engines: &[Seen], room: usize, all: &[(&str, Version)]) -> Vec<String> {
    let loads = swap.next(engines, room, &targets(all));
    loads.iter().map(|load| load.id.to_string()).collect()
}

#[test]
fn engines_are_shared_evenly_between_models() {
    let engines: Vec<_> = (0..11)
        .map(|at| seen(&format!("e{at:02}"), &[("a", 1), ("b", 1)], 0))
        .collect();
    let mut swap = Swap::default();

    let loads = swap.next(&engines, 11, &targets(&[("a", 2), ("b", 2)]));

    let first = loads.iter().filter(|load| &*load.model == "a").count();
    assert_eq!(loads.len(), 11);
    assert!((5..=6).contains(&first));
}

#[test]
fn the_engine_that_is_most_behind_loads_first() {
    let engines = [
        seen("a", &[("m", 4)], 0),
        seen("b", &[("m", 2)], 9),
        seen("c", &[("m", 5)], 0),
    ];

    let first = ids(&mut Swap::default(), &engines, 1, &[("m", 5)]);

    assert_eq!(first, ["b"]);
}

#[test]
fn a_busy_engine_gets_no_order() {
    let mut engines = [seen("a", &[("m", 1)], 0), seen("b", &[("m", 1)], 0)];
    engines[0].busy = true;

    let loads = ids(&mut Swap::default(), &engines, 2, &[("m", 2)]);

    assert_eq!(loads, ["b"]);
}

// Symptom: after a change of holder every engine loads the other model's version.
// Sequence: the new holder knows nothing of how the engines were shared.
// Cause: an engine goes on with the model that has advanced most there.
#[test]
fn a_new_holder_goes_on_as_the_one_before() {
    let engines = [
        seen("a", &[("x", 7), ("y", 1)], 0),
        seen("b", &[("x", 1), ("y", 6)], 0),
    ];
    let mut swap = Swap::default();

    swap.next(&engines, 2, &targets(&[("x", 8), ("y", 7)]));

    assert_eq!(swap.model("a").map(|model| &**model), Some("x"));
    assert_eq!(swap.model("b").map(|model| &**model), Some("y"));
}

#[test]
fn an_engine_that_came_or_went_changes_little() {
    let all = |count: usize| -> Vec<_> {
        (0..count)
            .map(|at| seen(&format!("e{at}"), &[("a", 1), ("b", 1)], 0))
            .collect()
    };
    let mut swap = Swap::default();
    let news = targets(&[("a", 2), ("b", 2)]);
    swap.next(&all(8), 8, &news);
    let before: Vec<_> = (0..7)
        .map(|at| swap.model(&format!("e{at}")).cloned())
        .collect();

    swap.next(&all(7), 8, &news);

    let after: Vec<_> = (0..7)
        .map(|at| swap.model(&format!("e{at}")).cloned())
        .collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed <= 1);
}
