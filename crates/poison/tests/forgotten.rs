//! What is believed of a request that ran whole, when its crashes are heard of again or later.

use kernel::Millis;
use poison::Crash;
use poison::Fingerprint;
use poison::Ledger;
use poison::Report;
use poison::Success;
use poison::Verdict;
use poison::ledger::CRASH_TTL_MS;
use poison::ledger::CRASHES;
use poison::ledger::SETTLE;
use proptest::prelude::*;
use yare::parameterized;

/// A time of day, in milliseconds since 1970.
const NOW: Millis = 1_750_000_000_000;

/// Time between two looks at what counts no more, in milliseconds.
const TIDY: Millis = 1_000;

fn print() -> Fingerprint {
    Fingerprint::new("GET", "shop.example", "/a", b"", b"")
}

fn crashes(at: Millis) -> Report {
    let one = |number| Crash {
        fingerprint: print(),
        upstream: format!("i-{number}").into(),
        at,
    };
    Report {
        crashes: (0..CRASHES).map(one).collect(),
        ..Report::default()
    }
}

fn whole(at: Millis) -> Report {
    Report {
        successes: vec![Success {
            fingerprint: print(),
            at,
        }],
        ..Report::default()
    }
}

fn tidy(ledger: &mut Ledger, from: Millis, to: Millis) {
    for now in (from..to).step_by(TIDY as usize) {
        ledger.prune(now);
    }
}

// An instance that has just started read that a request had run whole before it read of its crashes, and refused
// it for ten minutes.
#[parameterized(
    whole_first = { &[whole(NOW + 5_000), crashes(NOW)] },
    crashes_first = { &[crashes(NOW), whole(NOW + 5_000)] },
)]
fn the_order_in_which_records_are_read_does_not_matter(reports: &[Report]) {
    let mut ledger = Ledger::default();

    for report in reports {
        ledger.merge(report, NOW + 20_000);
    }

    let verdict = ledger.verdict(print(), NOW + 20_000);
    assert_eq!(verdict, Verdict::Unrestricted);
}

// A request ran whole here; half a minute later another instance wrote its record anew, with the crashes from before,
// and the request was refused for the rest of ten minutes.
#[parameterized(
    soon = { 5_000 },
    later = { 30_000 },
    much_later = { 300_000 },
    at_the_end = { CRASH_TTL_MS - 10_000 },
)]
fn crashes_that_are_told_again_do_not_count_again(pause: Millis) {
    let mut ledger = Ledger::default();
    ledger.merge(&crashes(NOW), NOW);
    ledger.record_success(print(), NOW + 1_000);
    let again = NOW + 1_000 + pause;
    tidy(&mut ledger, NOW + 1_000, again);

    ledger.merge(&crashes(NOW), again);

    assert_eq!(ledger.verdict(print(), again), Verdict::Unrestricted);
}

// The same at an instance that had heard of the whole answer from another one.
#[test]
fn crashes_that_are_told_again_do_not_count_where_the_whole_answer_was_told() {
    let mut ledger = Ledger::default();
    ledger.merge(&crashes(NOW), NOW);
    ledger.merge(&whole(NOW + 1_000), NOW + 2_000);
    tidy(&mut ledger, NOW + 2_000, NOW + 60_000);

    ledger.merge(&crashes(NOW), NOW + 60_000);

    assert_eq!(ledger.verdict(print(), NOW + 60_000), Verdict::Unrestricted);
}

// After its quarantine a request ended more upstreams than the first time: its crashes are forgotten one by one, and those
// of one moment all at once.
#[parameterized(
    crashes_of_one_moment = { 0, CRASHES },
    crashes_far_apart = { 60_000, 1 },
)]
fn after_its_quarantine_a_request_is_held_again_after_as_many_crashes_at_most(
    apart: Millis,
    expected: usize,
) {
    let mut ledger = Ledger::default();
    for at in 0..CRASHES {
        let time = NOW + apart * at as Millis;
        ledger.record_crash(print(), &format!("i-{at}").into(), time);
    }
    let mut now = NOW + CRASH_TTL_MS;
    tidy(&mut ledger, NOW + apart * CRASHES as Millis, now);
    assert!(ledger.verdict(print(), now) <= Verdict::Suspect);

    let mut more = 0;
    while ledger.verdict(print(), now) <= Verdict::Suspect {
        more += 1;
        ledger.record_crash(print(), &format!("j-{more}").into(), now);
        now += SETTLE;
    }

    assert_eq!(more, expected);
}

// What is remembered of whole answers must end too: else it grows for as long as the instance runs.
#[test]
fn a_whole_answer_is_forgotten_when_no_crash_before_it_can_count() {
    let mut ledger = Ledger::default();
    ledger.merge(&whole(NOW), NOW);
    ledger.merge(&crashes(NOW - 1_000), NOW);

    ledger.prune(NOW + CRASH_TTL_MS + 1);

    assert!(ledger.is_empty());
}

// The clock of the instance that wrote a record is wrong by any amount; the sum overflowed.
#[parameterized(
    long_ago = { 0 },
    at_the_end_of_time = { u64::MAX },
)]
fn a_whole_answer_of_any_time_is_taken_in(at: Millis) {
    let mut ledger = Ledger::default();

    ledger.merge(&whole(at), NOW);
    ledger.prune(NOW + CRASH_TTL_MS + 1);

    assert!(ledger.is_empty());
}

/// What an instance hears.
#[derive(Clone, Copy, Debug)]
enum Word {
    Crashes,
    Whole,
}

proptest! {
    // Instances that had heard the same said different things of a request, by when and how often they had heard it.
    #[test]
    fn a_verdict_follows_from_what_was_heard_and_not_from_when(
        words in proptest::collection::vec(
            (prop_oneof![Just(Word::Crashes), Just(Word::Whole)], 0..40_000_u64),
            1..12,
        ),
    ) {
        let (mut ledger, mut now) = (Ledger::default(), NOW + 5_000);
        let mut heard = (false, false);
        for (word, pause) in words {
            tidy(&mut ledger, now, now + pause);
            now += pause;
            match word {
                Word::Crashes => ledger.merge(&crashes(NOW), now),
                Word::Whole => ledger.merge(&whole(NOW + 1_000), now),
            }
            match word {
                Word::Crashes => heard.0 = true,
                Word::Whole => heard.1 = true,
            }
        }

        let held = matches!(ledger.verdict(print(), now + SETTLE), Verdict::Quarantined(_));

        prop_assert_eq!(held, heard == (true, false));
    }
}
