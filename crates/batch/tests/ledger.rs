//! Positions of results never change, whatever happens to writes and owners.

use std::collections::BTreeMap;

use batch::Draft;
use batch::DraftDelta;
use batch::Entry;
use batch::Groups;
use batch::Ledger;
use batch::Outcome;
use batch::Sample;
use batch::Spec;
use batch::draft::Checkpoints;
use batch::ledger::Action;
use proptest::prelude::*;

fn entry(index: u32, text: &str) -> Entry {
    Entry {
        index,
        id: format!("s{index}").into(),
        outcome: Outcome::Completed,
        text: text.into(),
        versions: vec![1],
        score: None,
    }
}

/// A ledger whose samples are a group each, all of which are waited for.
fn alone(total: u32, gather: u64) -> Ledger {
    let names: Vec<_> = (0..total).map(|at| format!("g{at}").into()).collect();
    Ledger::new(Groups::new(names.iter(), total), gather)
}

fn writes(ledger: &mut Ledger, now: u64) -> Option<batch::Segment> {
    match ledger.next_action(now, |_| Vec::new()) {
        Action::Write(segment) => Some(segment),
        Action::Wait(_) | Action::Idle => None,
    }
}

// Symptom: two readers see different results at one position.
// Sequence: a write is not answered, and another sample ends before it is repeated.
// Cause: the repeated write must have the same content.
#[test]
fn an_unclear_segment_is_offered_again_unchanged() {
    let mut ledger = alone(3, 0);
    ledger.finish(entry(0, "a"), 0);
    let first = writes(&mut ledger, 1);

    ledger.finish(entry(1, "b"), 2);
    let again = writes(&mut ledger, 3);

    assert_eq!(first, again);
}

#[test]
fn nothing_is_listed_before_it_is_written() {
    let mut ledger = alone(1, 0);
    ledger.finish(entry(0, "a"), 0);
    ledger.next_action(1, |_| Vec::new());
    assert!(ledger.listed().is_empty());

    ledger.mark_written();

    assert_eq!(ledger.listed().len(), 1);
    assert!(ledger.is_done());
}

#[test]
fn a_segment_stays_below_what_the_platform_takes() {
    let mut ledger = alone(3, 0);
    let text = "x".repeat(400 << 10);
    for index in 0..3 {
        ledger.finish(entry(index, &text), 0);
    }

    let segment = writes(&mut ledger, 1).unwrap();

    assert_eq!(segment.entries.len(), 1);
}

#[test]
fn the_samples_of_a_step_come_back_from_their_parts() {
    let sample = |at: usize| Sample {
        id: format!("s{at}").into(),
        group: "g".into(),
        path: "/a".into(),
        headers: vec![("x-a".into(), "b".into())],
        body: vec![at as u8; 300 << 10],
        expected: 7,
        prompt: 3,
        scoring: None,
    };
    let spec = Spec {
        samples: (0..4).map(sample).collect(),
    };

    let parts = spec.encode_parts().unwrap();

    assert!(parts.len() > 1 && parts.iter().all(|part| part.len() <= 512 << 10));
    let join = |parts: &[Vec<u8>]| Spec::decode_parts(parts.iter().map(Vec::as_slice), 4);
    assert_eq!(join(&parts).unwrap(), spec);
    assert!(join(&parts[1..]).is_err());
    assert!(join(&parts[..parts.len() - 1]).is_err());
}

#[test]
fn a_sample_that_is_larger_than_a_part_comes_back_from_several() {
    let sample = |id: &str, bytes: usize| Sample {
        id: id.into(),
        group: "g".into(),
        path: "/a".into(),
        headers: Vec::new(),
        body: vec![7; bytes],
        expected: 1,
        prompt: 1,
        scoring: None,
    };
    let spec = Spec {
        samples: vec![
            sample("a", 9),
            sample("b", 1_300 << 10),
            sample("c", 400 << 10),
        ],
    };

    let parts = spec.encode_parts().unwrap();

    let join = |parts: &[Vec<u8>]| Spec::decode_parts(parts.iter().map(Vec::as_slice), 3);
    assert!(parts.len() >= 4, "{}", parts.len());
    assert_eq!(join(&parts).unwrap(), spec);
    assert!(join(&parts[..2]).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Finish(u32),
    Write,
    Lose,
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u32..6).prop_map(Step::Finish),
        3 => Just(Step::Write),
        1 => Just(Step::Lose),
        1 => Just(Step::Crash),
    ]
}

proptest! {
    /// Owners finish, write, lose answers and die in any order; the platform keeps what was
    /// written under a number that did not exist. Each sample is listed at most once, and what a
    /// reader has seen at a position stays there.
    #[test]
    fn positions_never_change(steps in proptest::collection::vec(step(), 1..60)) {
        let mut kept: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        let mut ledger = alone(6, 0);
        let mut seen: Vec<Entry> = Vec::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = now as u64;
            match step {
                Step::Finish(index) => drop(ledger.finish(entry(index, &now.to_string()), now)),
                Step::Write | Step::Lose => {
                    if let Some(segment) = writes(&mut ledger, now) {
                        let there = kept.entry(segment.first);
                        let there = there.or_insert_with(|| segment.entries.clone());
                        prop_assert_eq!(&*there, &segment.entries);
                        if matches!(step, Step::Write) {
                            ledger.mark_written();
                        }
                    }
                }
                Step::Crash => {
                    ledger = alone(6, 0);
                    for entries in kept.values() {
                        ledger.restore(entries.clone());
                    }
                }
            }
            let all: Vec<_> = kept.values().flatten().cloned().collect();
            prop_assert_eq!(&all[..seen.len()], &seen[..]);
            prop_assert!(all.starts_with(ledger.listed()));
            let mut indexes: Vec<_> = all.iter().map(|entry| entry.index).collect();
            indexes.sort_unstable();
            indexes.dedup();
            prop_assert_eq!(indexes.len(), all.len());
            seen = all;
        }
    }
}

fn grown(events: u64) -> Draft {
    let mut draft = Draft::default();
    for number in 1..=events {
        assert!(draft.add(number, &format!("{number}"), 1));
    }
    draft
}

// Symptom: the longest samples of every open step begin anew after all processes were killed, and their
// trainers give the steps up.
// Sequence: the owner writes what a sample has gained some times, and is killed.
// Cause: the pieces that the platform has make the text up to the last of them.
#[test]
fn a_sample_comes_back_from_its_pieces() {
    let mut kept = Checkpoints::default();
    let mut pieces = Vec::new();
    for events in [10, 30, 33, 41, 90] {
        pieces.extend(kept.take_deltas([(4, &grown(events))].into_iter()));
    }

    let mut draft = Draft::default();
    for piece in pieces.clone() {
        draft.apply(piece);
    }

    assert_eq!(draft, grown(90));
    // Ten are too few, and three more are not worth a write.
    let lasts: Vec<_> = pieces.iter().map(|piece| piece.last).collect();
    assert_eq!(lasts, [30, 41, 90]);
}

// Symptom: a text has another run's events in its midst.
// Sequence: a sample of one version begins anew under another one after some of it was written.
// Cause: a piece that begins with the first event replaces what there was; one that goes on behind an
// event that is not the last is left out.
#[test]
fn a_sample_that_began_anew_is_not_joined_to_what_it_was() {
    let mut kept = Checkpoints::default();
    let first = kept.take_deltas([(0, &grown(40))].into_iter());
    kept.reset(0);
    let mut other = grown(30);
    other.versions = vec![2];
    let second = kept.take_deltas([(0, &other)].into_iter());
    let stray = DraftDelta {
        from: 77,
        ..first[0].clone()
    };

    let mut draft = Draft::default();
    for piece in first.into_iter().chain(second).chain([stray]) {
        draft.apply(piece);
    }

    assert_eq!(draft, other);
}

// Load: a step in whose last seconds only long samples run, and no results come.
#[test]
fn what_long_samples_have_gained_is_written_without_results() {
    let mut ledger = alone(3, 400);
    let mut kept = Checkpoints::default();
    let mut written = Vec::new();
    for now in (1_000..5_000).step_by(50) {
        let draft = grown(now / 40);
        let next = ledger.next_action(now, |_| kept.take_deltas([(0, &draft)].into_iter()));
        if let Action::Write(segment) = next {
            ledger.mark_written();
            written.push((now, segment.entries.len(), segment.deltas.len()));
        }
    }

    // One each 0.8 s, without results.
    assert_eq!(written.len(), 5, "{written:?}");
    assert!(written.iter().all(|one| (one.1, one.2) == (0, 1)));
}

// Load: a step of 20 groups of 4, of which 18 are waited for; a result comes each 50 ms, the groups side
// by side, so that most of them become whole with the last results.
#[test]
fn results_with_which_nobody_can_go_on_are_written_together() {
    let names: Vec<_> = (0..80).map(|at| format!("g{}", at % 20).into()).collect();
    let mut ledger = Ledger::new(Groups::new(names.iter(), 18), 400);
    let mut written = Vec::new();
    for index in 0..80 {
        let now = 1_000 + u64::from(index) * 50;
        ledger.finish(entry(index, "a"), now);
        if writes(&mut ledger, now).is_some() {
            ledger.mark_written();
            written.push(index);
        }
    }

    // One each 0.4 s, and then the 18th group and each behind it at once.
    assert!(written.len() <= 13, "{written:?}");
    assert_eq!(written[written.len() - 3..], [77, 78, 79]);
}
