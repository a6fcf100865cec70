//! Tests of putting chunks together.

use kernel::AttemptId;
use kernel::RequestId;
use proptest::prelude::*;
use step::Assembly;
use step::Chunk;
use step::Span;
use step::assembly::Contradiction;
use step::assembly::Placement;
use yare::parameterized;

fn attempt(ordinal: u32) -> AttemptId {
    RequestId::from_bits(1).attempt(ordinal)
}

fn chunk(offset: u32, text: &str, version: u64, end: bool) -> Chunk {
    Chunk {
        offset,
        tokens: text.len() as u32,
        text: text.into(),
        version,
        finish: end.then(|| "stop".into()),
    }
}

// Symptom: a parent sees another engine's words in the middle of an answer.
// Sequence: an attempt is given up, its engine goes on sending; the chunks arrive after the new
// attempt's first ones.
// Cause: chunks placed by offset without asking which attempt they belong to.
#[test]
fn chunks_of_a_dead_attempt_are_dropped() {
    let mut open = Assembly::new(attempt(0));
    open.place(attempt(0), chunk(0, "ab", 1, false));
    open.restart(attempt(1));

    let late = open.place(attempt(0), chunk(2, "XX", 1, true));
    let next = open.place(attempt(1), chunk(2, "cd", 2, true));

    assert_eq!(late, Placement::Dropped);
    assert_eq!(next, Placement::Appended("cd".into()));
    let sample = open.close().unwrap().sample(0, 0);
    assert_eq!(sample.text, "abcd");
    let span = |from, to, version| Span { from, to, version };
    assert_eq!(sample.spans, [span(0, 2, 1), span(2, 4, 2)]);
    assert_eq!(sample.oldest_version(), 1);
}

// Symptom: a shorter answer is taken for a whole one.
// Sequence: the stream ends without its last chunk, or with one missing in the middle.
// Cause: taking the end of the connection for the end of the answer.
#[parameterized(
    nothing = { &[] },
    no_end = { &[(0, "ab", false)] },
    hole = { &[(0, "ab", false), (4, "ef", true)] },
)]
fn a_cut_stream_is_never_whole(chunks: &[(u32, &str, bool)]) {
    let mut open = Assembly::new(attempt(0));
    for (offset, text, end) in chunks {
        open.place(attempt(0), chunk(*offset, text, 1, *end));
    }

    assert!(open.close().is_err());
}

// Symptom: a sample names a version that did not produce it.
// Sequence: an engine whose swap failed partway states one version, then an older one.
// Cause: believing what an engine states though it contradicts itself.
#[parameterized(
    older = { chunk(2, "c", 4, false), Contradiction::Version },
    overlap = { chunk(1, "bcd", 5, false), Contradiction::Overlap },
    overflow = { Chunk { tokens: u32::MAX, ..chunk(2, "c", 5, false) }, Contradiction::Overlap },
)]
fn an_engine_that_contradicts_itself_is_caught(next: Chunk, expected: Contradiction) {
    let mut open = Assembly::new(attempt(0));
    open.place(attempt(0), chunk(0, "ab", 5, false));

    let placed = open.place(attempt(0), next);

    assert_eq!(placed, Placement::Contradiction(expected));
}

#[test]
fn tokens_after_the_end_are_a_contradiction() {
    let mut open = Assembly::new(attempt(0));
    open.place(attempt(0), chunk(0, "ab", 1, true));

    let placed = open.place(attempt(0), chunk(2, "c", 1, false));

    assert_eq!(placed, Placement::Contradiction(Contradiction::AfterEnd));
}

#[test]
fn an_endless_gap_is_bounded() {
    let mut open = Assembly::new(attempt(0));
    let placed: Vec<_> = (1..1_000)
        .map(|offset| open.place(attempt(0), chunk(offset, "x", 1, false)))
        .collect();

    assert!(placed.contains(&Placement::Contradiction(Contradiction::Gap)));
}

proptest! {
    // In whatever order the chunks come, and however often, the sample is the same.
    #[test]
    fn order_and_doubles_do_not_matter(
        parts in prop::collection::vec("[a-z]{1,5}", 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut chunks = Vec::new();
        let mut offset = 0;
        for (at, part) in parts.iter().enumerate() {
            let end = at + 1 == parts.len();
            chunks.push(chunk(offset, part, 1 + at as u64 / 3, end));
            offset += part.len() as u32;
        }
        let mut open = Assembly::new(attempt(0));
        let picked = order.iter().map(|index| index.get(&chunks).clone());
        for next in picked.chain(chunks.iter().cloned()) {
            let placed = open.place(attempt(0), next);
            prop_assert!(!matches!(placed, Placement::Contradiction(_)), "{placed:?}");
        }
        let sample = open.close().unwrap().sample(0, 0);
        prop_assert_eq!(sample.text, parts.concat());
        prop_assert_eq!(sample.spans.last().unwrap().to, offset);
    }
}
