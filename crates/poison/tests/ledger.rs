//! What is believed of requests from the crashes that are known.

use std::sync::Arc;

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
use poison::report::MOST;
use proptest::prelude::*;

/// A time of day, in milliseconds since 1970.
const NOW: Millis = 1_750_000_000_000;

fn print(name: &str) -> Fingerprint {
    Fingerprint::new("GET", "shop.example", name, b"", b"")
}

fn id(number: usize) -> Arc<str> {
    format!("i-{number}").into()
}

/// Whether a request is held once all that had been seen by then is known.
fn is_held(ledger: &Ledger, name: &str, now: Millis) -> bool {
    let verdict = ledger.verdict(print(name), now + SETTLE);
    matches!(verdict, Verdict::Quarantined(_))
}

fn crash(name: &str, upstream: usize, at: Millis) -> Crash {
    Crash {
        fingerprint: print(name),
        upstream: id(upstream),
        at,
    }
}

fn report(crashes: &[Crash]) -> Report {
    Report {
        crashes: crashes.into(),
        ..Report::default()
    }
}

// Crashes are counted over instances: each saw one, and none alone would ever have said a word.
#[test]
fn crashes_that_three_instances_saw_make_three() {
    let mut ledger = Ledger::default();

    ledger.record_crash(print("a"), &id(1), NOW);
    for upstream in [2, 3] {
        assert_eq!(ledger.verdict(print("a"), NOW), Verdict::Suspect);
        ledger.merge(&report(&[crash("a", upstream, NOW)]), NOW);
    }

    assert_eq!(ledger.verdict(print("a"), NOW), Verdict::Undecided(SETTLE));
    let settled = NOW + SETTLE;
    let held = Verdict::Quarantined(CRASH_TTL_MS - SETTLE);
    assert_eq!(ledger.verdict(print("a"), settled), held);
    assert_eq!(ledger.verdict(print("b"), settled), Verdict::Unrestricted);
    ledger.prune(settled);
    assert_eq!(ledger.take_changes().len(), 1);
}

// A caller was refused for 0.4 s who was beside the culprit at three upstreams within 120 ms, since the culprit
// was another instance's: "request quarantined" at 57.934 s, "request released" at 58.361 s, when that instance's
// crashes were read. Three crashes with nothing beside them are no proof before others can have told theirs.
#[test]
fn nobody_is_held_before_others_can_have_told_what_was_beside() {
    let mut ledger = Ledger::default();
    let times = [(1, NOW), (2, NOW + 40), (3, NOW + 80)];
    for (upstream, at) in times {
        ledger.record_crash(print("beside"), &id(upstream), at);
    }
    let early = ledger.verdict(print("beside"), NOW + 90);

    let culprit = times.map(|(upstream, at)| crash("culprit", upstream, at));
    ledger.merge(&report(&culprit), NOW + 510);

    assert_eq!(early, Verdict::Undecided(SETTLE - 50));
    assert_eq!(ledger.verdict(print("beside"), NOW + 510), Verdict::Suspect);
    assert!(!is_held(&ledger, "beside", NOW + 510));
    assert!(ledger.take_changes().is_empty());
}

// The same crash comes back with each read of the records, and two instances may see it of one upstream.
#[test]
fn a_crash_that_is_heard_of_again_counts_once() {
    let mut ledger = Ledger::default();
    let twice = report(&[crash("a", 1, NOW), crash("a", 1, NOW + 7)]);

    for _ in 0..5 {
        ledger.merge(&twice, NOW + 10);
    }

    assert_eq!(ledger.verdict(print("a"), NOW + 10), Verdict::Suspect);
}

// A request was beside the culprit each time it crashed an upstream, at another instance. What tells them
// apart is the next crash, at which it is not.
#[test]
fn a_request_that_was_beside_the_culprit_each_time_is_not_blamed() {
    let mut ledger = Ledger::default();
    for upstream in 1..=3 {
        ledger.merge(&report(&[crash("beside", upstream, NOW)]), NOW);
        ledger.merge(&report(&[crash("culprit", upstream, NOW)]), NOW);
    }
    let both = ["beside", "culprit"].map(|name| is_held(&ledger, name, NOW));

    ledger.record_crash(print("culprit"), &id(4), NOW);
    ledger.record_crash(print("culprit"), &id(5), NOW);

    assert_eq!(both, [false, false]);
    assert!(is_held(&ledger, "culprit", NOW));
    assert!(!is_held(&ledger, "beside", NOW));
}

// The culprit's third crash is known a second later than that of the request beside it.
#[test]
fn a_crash_that_is_not_known_yet_shifts_no_blame() {
    let mut ledger = Ledger::default();
    for upstream in 1..=2 {
        ledger.record_crash(print("culprit"), &id(upstream), NOW);
    }

    for upstream in 1..=3 {
        ledger.merge(&report(&[crash("beside", upstream, NOW)]), NOW);
    }
    let early = is_held(&ledger, "beside", NOW);
    ledger.record_crash(print("culprit"), &id(3), NOW);

    assert!(!early);
    assert!(!is_held(&ledger, "beside", NOW));
}

// A request that thousands of callers send is under way somewhere whenever an upstream crashes.
#[test]
fn a_request_that_runs_whole_in_between_is_not_blamed() {
    let mut ledger = Ledger::default();
    for upstream in 1..=6 {
        let now = NOW + upstream as Millis * 1_000;
        for name in ["popular", "culprit"] {
            ledger.record_crash(print(name), &id(upstream), now);
        }
        ledger.record_success(print("popular"), now + 100);
    }

    let now = NOW + 10_000;
    assert_eq!(ledger.verdict(print("popular"), now), Verdict::Unrestricted);
    assert!(is_held(&ledger, "culprit", now));
}

// An instance that has seen a request run whole says so, since others still count its crashes.
#[test]
fn others_hear_that_a_request_ran_whole() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    for upstream in 1..=3 {
        one.record_crash(print("a"), &id(upstream), NOW);
    }
    other.merge(one.local_report(), NOW);
    let held = is_held(&other, "a", NOW);
    let now = NOW + SETTLE;
    one.prune(now);

    other.record_success(print("a"), now + 500);
    one.merge(other.local_report(), now + 600);

    assert!(held);
    assert_eq!(one.verdict(print("a"), now + 600), Verdict::Unrestricted);
    let changes = one.take_changes();
    let changes: Vec<_> = changes.iter().map(|change| change.quarantined).collect();
    assert_eq!(changes, [true, false]);
}

// An upstream that was mended would never get the request again.
#[test]
fn a_quarantine_ends_when_its_crashes_are_old() {
    let mut ledger = Ledger::default();
    for (upstream, at) in [(1, NOW), (2, NOW + 1_000), (3, NOW + 2_000)] {
        ledger.record_crash(print("a"), &id(upstream), at);
    }

    let left = ledger.verdict(print("a"), NOW + 3_000);
    let later = ledger.verdict(print("a"), NOW + CRASH_TTL_MS);
    ledger.record_crash(print("a"), &id(4), NOW + CRASH_TTL_MS + 10);

    assert_eq!(left, Verdict::Quarantined(CRASH_TTL_MS - 3_000));
    assert_eq!(later, Verdict::Suspect);
    let again = ledger.verdict(print("a"), NOW + CRASH_TTL_MS + 10);
    assert!(matches!(again, Verdict::Quarantined(_)));
    ledger.prune(NOW + CRASH_TTL_MS * 2 + 20);
    assert!(ledger.is_empty());
}

// The clock of the instance that saw a crash is far ahead, and the request would be held for as long.
#[test]
fn a_clock_that_is_ahead_holds_nothing_for_longer() {
    let mut ledger = Ledger::default();
    let ahead = NOW + 10 * CRASH_TTL_MS;
    let crashes: Vec<_> = (1..=3).map(|at| crash("a", at, ahead)).collect();

    ledger.merge(&report(&crashes), NOW);

    let held = Verdict::Quarantined(CRASH_TTL_MS - SETTLE);
    assert_eq!(ledger.verdict(print("a"), NOW + SETTLE), held);
}

// 600 upstreams crash at the same moment with a dozen requests each, again and again. What is known must
// stay small, and what is quarantined must stay known, to others as well.
#[test]
fn a_flood_of_crashes_stays_bounded_and_pushes_out_nothing_that_is_quarantined() {
    let mut ledger = Ledger::default();
    for upstream in 1..=3 {
        ledger.record_crash(print("a"), &id(upstream), NOW);
    }
    let begun = std::time::Instant::now();

    for at in 0..40_000 {
        let now = NOW + at / 100;
        ledger.record_crash(
            print(&format!("flood {at}")),
            &id(100 + at as usize / 12),
            now,
        );
    }

    assert!(is_held(&ledger, "a", NOW + 400));
    let own = ledger.local_report();
    assert_eq!(own.crashes.len(), MOST);
    let kept = own
        .crashes
        .iter()
        .filter(|crash| crash.fingerprint == print("a"));
    assert_eq!(kept.count(), CRASHES);
    assert!(ledger.len() <= 4_096, "{}", ledger.len());
    // A second of a part of a core is what all requests of an instance have.
    assert!(begun.elapsed().as_secs() < 20, "{:?}", begun.elapsed());
}

#[test]
fn suspects_keep_apart() {
    let mut ledger = Ledger::default();
    let (a, b) = (print("a"), print("b"));
    ledger.enter(a, &id(1));
    ledger.enter(a, &id(1));
    ledger.enter(b, &id(2));

    let of_a: Vec<_> = ledger.upstreams_of_others(a).cloned().collect();
    ledger.leave(a, "i-1");
    let of_b: Vec<_> = ledger.upstreams_of_others(b).cloned().collect();
    ledger.leave(a, "i-1");

    assert_eq!(of_a, [id(2)]);
    assert_eq!(of_b, [id(1)]);
    assert_eq!(ledger.upstreams_of_others(b).count(), 0);
}

/// What happens while a request crashes upstreams: beside which others each crash was, and in which order
/// an instance hears of it, some of it more than once.
fn story() -> impl Strategy<Value = (Vec<Vec<usize>>, Vec<usize>)> {
    let crashes = prop::collection::vec(prop::collection::vec(0..6_usize, 0..4), 3..10);
    let order = prop::collection::vec(0..1_000_usize, 60);
    (crashes, order)
}

proptest! {
    // Two instances that hear of the same crashes in another order must say the same, or a caller is served or
    // not by chance; nobody who was beside is blamed once all is known; and whoever crashes upstreams is held
    // after two more than three at most, if others were beside it now and then only.
    #[test]
    fn instances_that_know_the_same_say_the_same((crashes, order) in story()) {
        let mut all = Vec::new();
        for (upstream, beside) in crashes.iter().enumerate() {
            all.push(crash("culprit", upstream, NOW));
            all.extend(beside.iter().map(|name| crash(&format!("b{name}"), upstream, NOW)));
        }
        let mut other = all.clone();
        for (at, to) in order.iter().enumerate() {
            let len = other.len();
            other.swap(at % len, to % len);
        }
        let (mut here, mut there) = (Ledger::default(), Ledger::default());
        here.merge(&report(&all), NOW);
        for crash in other.iter().chain(&other[..other.len() / 2]) {
            there.merge(&report(std::slice::from_ref(crash)), NOW);
        }

        let names = (0..6).map(|name| format!("b{name}"));
        for name in names.chain(["culprit".to_owned()]) {
            prop_assert_eq!(here.verdict(print(&name), NOW), there.verdict(print(&name), NOW));
            if name != "culprit" {
                prop_assert!(!is_held(&here, &name, NOW), "{} is blamed", name);
            }
        }
        let most = (0..6).map(|name| crashes.iter().filter(|beside| beside.contains(&name)).count());
        if most.max() < Some(crashes.len() - 1) {
            prop_assert!(is_held(&here, "culprit", NOW));
        }
    }

    // Records of other instances are what they are: old, from clocks that differ, of any size.
    #[test]
    fn any_report_leaves_the_ledger_bounded(
        crashes in prop::collection::vec((0..9_usize, 0..9_usize, 0..u64::MAX), 0..60),
        wholes in prop::collection::vec((0..9_usize, 0..u64::MAX), 0..9),
        now in CRASH_TTL_MS..NOW,
    ) {
        let crashes = crashes.iter().map(|(name, at, time)| crash(&name.to_string(), *at, *time));
        let wholes = wholes.iter().map(|(name, time)| Success {
            fingerprint: print(&name.to_string()),
            at: *time,
        });
        let report = Report { crashes: crashes.collect(), successes: wholes.collect() };
        let mut ledger = Ledger::default();

        ledger.merge(&report, now);

        prop_assert!(ledger.len() <= 9);
        prop_assert!(ledger.local_report() == &Report::default());
        ledger.prune(now + CRASH_TTL_MS + 10_000);
        prop_assert!(ledger.is_empty());
    }
}
