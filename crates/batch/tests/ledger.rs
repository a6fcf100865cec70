//! Tests of the ledger, of encoded samples and of checkpoints.

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

/// A ledger in which each sample is a group of its own, all of which are required.
fn single_sample_groups(total: u32, max_delay: u64) -> Ledger {
    let names: Vec<_> = (0..total).map(|at| format!("g{at}").into()).collect();
    Ledger::new(Groups::new(names.iter(), total), max_delay)
}

fn next_segment(ledger: &mut Ledger, now: u64) -> Option<batch::Segment> {
    match ledger.next_action(now, |_| Vec::new()) {
        Action::Write(segment) => Some(segment),
        Action::Wait(_) | Action::Idle => None,
    }
}

// Guards against two readers that see different results at one position: a write is not answered,
// and another sample ends before it is repeated. The repeated write must have the same content.
#[test]
fn an_unconfirmed_segment_is_returned_again_unchanged() {
    let mut ledger = single_sample_groups(3, 0);
    ledger.finish(entry(0, "a"), 0);
    let first = next_segment(&mut ledger, 1);

    ledger.finish(entry(1, "b"), 2);
    let repeated = next_segment(&mut ledger, 3);

    assert_eq!(first, repeated);
}

#[test]
fn nothing_is_listed_before_it_is_written() {
    let mut ledger = single_sample_groups(1, 0);
    ledger.finish(entry(0, "a"), 0);
    ledger.next_action(1, |_| Vec::new());
    assert!(ledger.listed().is_empty());

    ledger.mark_written();

    assert_eq!(ledger.listed().len(), 1);
    assert!(ledger.is_done());
}

#[test]
fn a_segment_stays_below_the_value_limit_of_the_platform() {
    let mut ledger = single_sample_groups(3, 0);
    let text = "x".repeat(400 << 10);
    for index in 0..3 {
        ledger.finish(entry(index, &text), 0);
    }

    let segment = next_segment(&mut ledger, 1).unwrap();

    assert_eq!(segment.entries.len(), 1);
}

#[test]
fn samples_are_decoded_from_their_parts() {
    let sample = |at: usize| Sample {
        id: format!("s{at}").into(),
        group: "g".into(),
        path: "/a".into(),
        headers: vec![("x-a".into(), "b".into())],
        body: vec![at as u8; 300 << 10].into(),
        expected: 7,
        prompt: 3,
        scoring: None,
    };
    let spec = Spec {
        samples: (0..4).map(sample).collect(),
    };

    let parts = spec.encode_parts().unwrap();

    assert!(parts.len() > 1 && parts.iter().all(|part| part.len() <= 512 << 10));
    let decode = |parts: &[Vec<u8>]| Spec::decode_parts(parts.iter().map(Vec::as_slice), 4);
    assert_eq!(decode(&parts).unwrap(), spec);
    assert!(decode(&parts[1..]).is_err());
    assert!(decode(&parts[..parts.len() - 1]).is_err());
}

#[test]
fn a_sample_larger_than_a_part_is_decoded_from_several() {
    let sample = |id: &str, bytes: usize| Sample {
        id: id.into(),
        group: "g".into(),
        path: "/a".into(),
        headers: Vec::new(),
        body: vec![7; bytes].into(),
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

    let decode = |parts: &[Vec<u8>]| Spec::decode_parts(parts.iter().map(Vec::as_slice), 3);
    assert!(parts.len() >= 4, "{}", parts.len());
    assert_eq!(decode(&parts).unwrap(), spec);
    assert!(decode(&parts[..2]).is_err());
}

#[derive(Clone, Debug)]
enum Event {
    Finish(u32),
    Write,
    LoseAnswer,
    Crash,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u32..6).prop_map(Event::Finish),
        3 => Just(Event::Write),
        1 => Just(Event::LoseAnswer),
        1 => Just(Event::Crash),
    ]
}

proptest! {
    /// Owners finish samples, write, lose answers and crash in any order, and the platform stores a
    /// segment only under a key that does not exist. Each sample is listed at most once, and a
    /// result that was readable at a position stays there.
    #[test]
    fn positions_never_change(events in proptest::collection::vec(event(), 1..60)) {
        let mut stored: BTreeMap<u32, Vec<Entry>> = BTreeMap::new();
        let mut ledger = single_sample_groups(6, 0);
        let mut seen: Vec<Entry> = Vec::new();
        for (now, event) in events.into_iter().enumerate() {
            let now = now as u64;
            match event {
                Event::Finish(index) => drop(ledger.finish(entry(index, &now.to_string()), now)),
                Event::Write | Event::LoseAnswer => {
                    if let Some(segment) = next_segment(&mut ledger, now) {
                        let at_position = stored.entry(segment.first);
                        let at_position = at_position.or_insert_with(|| segment.entries.clone());
                        prop_assert_eq!(&*at_position, &segment.entries);
                        if matches!(event, Event::Write) {
                            ledger.mark_written();
                        }
                    }
                }
                Event::Crash => {
                    ledger = single_sample_groups(6, 0);
                    for entries in stored.values() {
                        ledger.restore(entries.clone());
                    }
                }
            }
            let all: Vec<_> = stored.values().flatten().cloned().collect();
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

fn draft_of(events: u64) -> Draft {
    let mut draft = Draft::default();
    for number in 1..=events {
        assert!(draft.add(number, &format!("{number}"), 1));
    }
    draft
}

// Guards against the longest samples of every open step starting over after all processes were
// killed, so that their trainers give the steps up: the owner writes several deltas of a sample and
// is killed. The stored deltas must restore the text up to the last of them.
#[test]
fn a_sample_is_restored_from_its_deltas() {
    let mut checkpoints = Checkpoints::default();
    let mut deltas = Vec::new();
    for events in [10, 30, 33, 41, 90] {
        deltas.extend(checkpoints.take_deltas([(4, &draft_of(events))].into_iter()));
    }

    let mut draft = Draft::default();
    for delta in deltas.clone() {
        draft.apply(delta);
    }

    assert_eq!(draft, draft_of(90));
    // 10 events are too few for a checkpoint, and so is a gain of 3.
    let lasts: Vec<_> = deltas.iter().map(|delta| delta.last_event).collect();
    assert_eq!(lasts, [30, 41, 90]);
}

// Guards against a text that mixes the events of two runs: a sample starts over under another
// weight version after some of it was written. A delta that starts with the first event must
// replace the draft, and one that does not follow its last event must be ignored.
#[test]
fn a_restarted_sample_is_not_mixed_with_its_earlier_run() {
    let mut checkpoints = Checkpoints::default();
    let first = checkpoints.take_deltas([(0, &draft_of(40))].into_iter());
    checkpoints.reset(0);
    let mut other = draft_of(30);
    other.versions = vec![2];
    let second = checkpoints.take_deltas([(0, &other)].into_iter());
    let gap = DraftDelta {
        after_event: 77,
        ..first[0].clone()
    };

    let mut draft = Draft::default();
    for delta in first.into_iter().chain(second).chain([gap]) {
        draft.apply(delta);
    }

    assert_eq!(draft, other);
}

// Load: in the last seconds of a step only long samples run, and no results arrive.
#[test]
fn deltas_of_long_samples_are_written_without_results() {
    let mut ledger = single_sample_groups(3, 400);
    let mut checkpoints = Checkpoints::default();
    let mut written = Vec::new();
    for now in (1_000..5_000).step_by(50) {
        let draft = draft_of(now / 40);
        let next = ledger.next_action(now, |_| checkpoints.take_deltas([(0, &draft)].into_iter()));
        if let Action::Write(segment) = next {
            ledger.mark_written();
            written.push((now, segment.entries.len(), segment.deltas.len()));
        }
    }

    // One write each 0.8 s, without results.
    assert_eq!(written.len(), 5, "{written:?}");
    assert!(written.iter().all(|one| (one.1, one.2) == (0, 1)));
}

// Load: a step of 20 groups of 4, of which 18 are required. A result arrives each 50 ms,
// round-robin over the groups, so most groups complete with the last results.
#[test]
fn results_that_do_not_let_the_trainer_continue_are_written_together() {
    let names: Vec<_> = (0..80).map(|at| format!("g{}", at % 20).into()).collect();
    let mut ledger = Ledger::new(Groups::new(names.iter(), 18), 400);
    let mut written = Vec::new();
    for index in 0..80 {
        let now = 1_000 + u64::from(index) * 50;
        ledger.finish(entry(index, "a"), now);
        if next_segment(&mut ledger, now).is_some() {
            ledger.mark_written();
            written.push(index);
        }
    }

    // One write each 0.4 s, then the 18th group and each group after it at once.
    assert!(written.len() <= 13, "{written:?}");
    assert_eq!(written[written.len() - 3..], [77, 78, 79]);
}
