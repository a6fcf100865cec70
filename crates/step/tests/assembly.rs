//! Tests of reassembling chunks.

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

// Guards against text of another engine in the middle of a response: an attempt is abandoned, but
// its engine keeps sending, and its chunks arrive after the first ones of the new attempt. Chunks
// must not be placed by offset alone, but also by attempt.
#[test]
fn chunks_of_an_abandoned_attempt_are_dropped() {
    let mut assembly = Assembly::new(attempt(0));
    assembly.place(attempt(0), chunk(0, "ab", 1, false));
    assembly.restart(attempt(1));

    let late = assembly.place(attempt(0), chunk(2, "XX", 1, true));
    let next = assembly.place(attempt(1), chunk(2, "cd", 2, true));

    assert_eq!(late, Placement::Dropped);
    assert_eq!(next, Placement::Appended("cd".into()));
    let sample = assembly.close().unwrap().sample(0, 0);
    assert_eq!(sample.text, "abcd");
    let span = |from, to, version| Span { from, to, version };
    assert_eq!(sample.spans, [span(0, 2, 1), span(2, 4, 2)]);
    assert_eq!(sample.oldest_version(), 1);
}

// Guards against a truncated response that is taken for a complete one: the stream ends without its
// last chunk, or with one missing in the middle. The end of the connection is not the end of the
// response.
#[parameterized(
    nothing = { &[] },
    no_end = { &[(0, "ab", false)] },
    gap = { &[(0, "ab", false), (4, "ef", true)] },
)]
fn a_truncated_stream_is_never_complete(chunks: &[(u32, &str, bool)]) {
    let mut assembly = Assembly::new(attempt(0));
    for (offset, text, end) in chunks {
        assembly.place(attempt(0), chunk(*offset, text, 1, *end));
    }

    assert!(assembly.close().is_err());
}

// Guards against a sample that names a weight version that did not produce it: an engine whose
// weight swap failed midway reports one version, then an older one. An inconsistent stream must not
// be trusted.
#[parameterized(
    older = { chunk(2, "c", 4, false), Contradiction::Version },
    overlap = { chunk(1, "bcd", 5, false), Contradiction::Overlap },
    overflow = { Chunk { tokens: u32::MAX, ..chunk(2, "c", 5, false) }, Contradiction::Overlap },
)]
fn an_inconsistent_stream_is_detected(next: Chunk, expected: Contradiction) {
    let mut assembly = Assembly::new(attempt(0));
    assembly.place(attempt(0), chunk(0, "ab", 5, false));

    let placed = assembly.place(attempt(0), next);

    assert_eq!(placed, Placement::Contradiction(expected));
}

#[test]
fn tokens_after_the_end_are_a_contradiction() {
    let mut assembly = Assembly::new(attempt(0));
    assembly.place(attempt(0), chunk(0, "ab", 1, true));

    let placed = assembly.place(attempt(0), chunk(2, "c", 1, false));

    assert_eq!(placed, Placement::Contradiction(Contradiction::AfterEnd));
}

#[test]
fn buffering_behind_a_gap_is_bounded() {
    let mut assembly = Assembly::new(attempt(0));
    let placed: Vec<_> = (1..1_000)
        .map(|offset| assembly.place(attempt(0), chunk(offset, "x", 1, false)))
        .collect();

    assert!(placed.contains(&Placement::Contradiction(Contradiction::Gap)));
}

proptest! {
    // The sample is the same in whatever order, and however often, the chunks arrive.
    #[test]
    fn order_and_duplicates_do_not_matter(
        parts in prop::collection::vec("[a-z]{1,5}", 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut chunks = Vec::new();
        let mut offset = 0;
        for (index, part) in parts.iter().enumerate() {
            let end = index + 1 == parts.len();
            chunks.push(chunk(offset, part, 1 + index as u64 / 3, end));
            offset += part.len() as u32;
        }
        let mut assembly = Assembly::new(attempt(0));
        let picked = order.iter().map(|index| index.get(&chunks).clone());
        for next in picked.chain(chunks.iter().cloned()) {
            let placed = assembly.place(attempt(0), next);
            prop_assert!(!matches!(placed, Placement::Contradiction(_)), "{placed:?}");
        }
        let sample = assembly.close().unwrap().sample(0, 0);
        prop_assert_eq!(sample.text, parts.concat());
        prop_assert_eq!(sample.spans.last().unwrap().to, offset);
    }
}
