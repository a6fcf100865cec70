//! Tests of the verdicts that follow from known crashes.

use std::sync::Arc;

use kernel::Millis;
use poison::Crash;
use poison::Fingerprint;
use poison::Ledger;
use poison::Report;
use poison::Success;
use poison::Verdict;
use poison::ledger::CRASH_TTL_MS;
use poison::ledger::QUARANTINE_CRASHES;
use poison::ledger::SETTLING_MS;
use poison::report::MAX_ENTRIES;
use proptest::prelude::*;

/// The current time in milliseconds since 1970.
const NOW: Millis = 1_750_000_000_000;

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::new("GET", "shop.example", name, b"", b"")
}

fn id(number: usize) -> Arc<str> {
    format!("i-{number}").into()
}

/// Returns whether a request is quarantined once all observations made by `now` have been reported.
fn is_quarantined(ledger: &Ledger, name: &str, now: Millis) -> bool {
    let verdict = ledger.verdict(fingerprint(name), now + SETTLING_MS);
    matches!(verdict, Verdict::Quarantined(_))
}

fn crash(name: &str, upstream: usize, at: Millis) -> Crash {
    Crash {
        fingerprint: fingerprint(name),
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

// Guards against crashes that are counted per instance: each of three instances observed one, which alone never leads
// to a quarantine.
#[test]
fn crashes_are_counted_across_instances() {
    let mut ledger = Ledger::default();

    ledger.record_crash(fingerprint("a"), &id(1), NOW);
    for upstream in [2, 3] {
        assert_eq!(ledger.verdict(fingerprint("a"), NOW), Verdict::Suspect);
        ledger.merge(&report(&[crash("a", upstream, NOW)]), NOW);
    }

    assert_eq!(
        ledger.verdict(fingerprint("a"), NOW),
        Verdict::Undecided(SETTLING_MS)
    );
    let settled = NOW + SETTLING_MS;
    let quarantined = Verdict::Quarantined(CRASH_TTL_MS - SETTLING_MS);
    assert_eq!(ledger.verdict(fingerprint("a"), settled), quarantined);
    assert_eq!(
        ledger.verdict(fingerprint("b"), settled),
        Verdict::Unrestricted
    );
    ledger.prune(settled);
    assert_eq!(ledger.take_changes().len(), 1);
}

// Guards against a request that is quarantined before other instances can have reported theirs. Its caller was
// rejected for 0.4 s (from 57.934 s to 58.361 s): the request ran beside the culprit of another instance at three
// upstreams that crashed within 120 ms, and that instance's crashes were read only afterwards.
#[test]
fn no_request_is_quarantined_before_others_can_have_reported() {
    let mut ledger = Ledger::default();
    let times = [(1, NOW), (2, NOW + 40), (3, NOW + 80)];
    for (upstream, at) in times {
        ledger.record_crash(fingerprint("beside"), &id(upstream), at);
    }
    let early = ledger.verdict(fingerprint("beside"), NOW + 90);

    let culprit = times.map(|(upstream, at)| crash("culprit", upstream, at));
    ledger.merge(&report(&culprit), NOW + 510);

    assert_eq!(early, Verdict::Undecided(SETTLING_MS - 50));
    assert_eq!(
        ledger.verdict(fingerprint("beside"), NOW + 510),
        Verdict::Suspect
    );
    assert!(!is_quarantined(&ledger, "beside", NOW + 510));
    assert!(ledger.take_changes().is_empty());
}

// Guards against counting a crash twice: each read of the reports returns it again, and two instances may report the
// crash of one upstream.
#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut ledger = Ledger::default();
    let twice = report(&[crash("a", 1, NOW), crash("a", 1, NOW + 7)]);

    for _ in 0..5 {
        ledger.merge(&twice, NOW + 10);
    }

    assert_eq!(ledger.verdict(fingerprint("a"), NOW + 10), Verdict::Suspect);
}

// Guards against blaming a request that ran beside another instance's culprit at each crash. Only a crash of the
// culprit alone tells them apart.
#[test]
fn a_request_that_was_beside_the_culprit_each_time_is_not_blamed() {
    let mut ledger = Ledger::default();
    for upstream in 1..=3 {
        ledger.merge(&report(&[crash("beside", upstream, NOW)]), NOW);
        ledger.merge(&report(&[crash("culprit", upstream, NOW)]), NOW);
    }
    let both = ["beside", "culprit"].map(|name| is_quarantined(&ledger, name, NOW));

    ledger.record_crash(fingerprint("culprit"), &id(4), NOW);
    ledger.record_crash(fingerprint("culprit"), &id(5), NOW);

    assert_eq!(both, [false, false]);
    assert!(is_quarantined(&ledger, "culprit", NOW));
    assert!(!is_quarantined(&ledger, "beside", NOW));
}

// Guards against blaming a request that ran beside the culprit when the culprit's third crash is reported a second
// later than its own.
#[test]
fn a_crash_that_is_not_known_yet_does_not_shift_blame() {
    let mut ledger = Ledger::default();
    for upstream in 1..=2 {
        ledger.record_crash(fingerprint("culprit"), &id(upstream), NOW);
    }

    for upstream in 1..=3 {
        ledger.merge(&report(&[crash("beside", upstream, NOW)]), NOW);
    }
    let early = is_quarantined(&ledger, "beside", NOW);
    ledger.record_crash(fingerprint("culprit"), &id(3), NOW);

    assert!(!early);
    assert!(!is_quarantined(&ledger, "beside", NOW));
}

// Guards against blaming a request that thousands of callers send: it is running somewhere whenever an upstream
// crashes.
#[test]
fn a_request_that_succeeds_in_between_is_not_blamed() {
    let mut ledger = Ledger::default();
    for upstream in 1..=6 {
        let now = NOW + upstream as Millis * 1_000;
        for name in ["popular", "culprit"] {
            ledger.record_crash(fingerprint(name), &id(upstream), now);
        }
        ledger.record_success(fingerprint("popular"), now + 100);
    }

    let now = NOW + 10_000;
    assert_eq!(
        ledger.verdict(fingerprint("popular"), now),
        Verdict::Unrestricted
    );
    assert!(is_quarantined(&ledger, "culprit", now));
}

// Guards against other instances that still count the crashes of a request after it succeeded here.
#[test]
fn a_success_is_reported_to_other_instances() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    for upstream in 1..=3 {
        one.record_crash(fingerprint("a"), &id(upstream), NOW);
    }
    other.merge(one.local_report(), NOW);
    let quarantined = is_quarantined(&other, "a", NOW);
    let now = NOW + SETTLING_MS;
    one.prune(now);

    other.record_success(fingerprint("a"), now + 500);
    one.merge(other.local_report(), now + 600);

    assert!(quarantined);
    assert_eq!(
        one.verdict(fingerprint("a"), now + 600),
        Verdict::Unrestricted
    );
    let changes = one.take_changes();
    let changes: Vec<_> = changes.iter().map(|change| change.quarantined).collect();
    assert_eq!(changes, [true, false]);
}

// Guards against a quarantine that never ends, so that a repaired upstream never gets the request again.
#[test]
fn a_quarantine_ends_when_its_crashes_expire() {
    let mut ledger = Ledger::default();
    for (upstream, at) in [(1, NOW), (2, NOW + 1_000), (3, NOW + 2_000)] {
        ledger.record_crash(fingerprint("a"), &id(upstream), at);
    }

    let left = ledger.verdict(fingerprint("a"), NOW + 3_000);
    let later = ledger.verdict(fingerprint("a"), NOW + CRASH_TTL_MS);
    ledger.record_crash(fingerprint("a"), &id(4), NOW + CRASH_TTL_MS + 10);

    assert_eq!(left, Verdict::Quarantined(CRASH_TTL_MS - 3_000));
    assert_eq!(later, Verdict::Suspect);
    let again = ledger.verdict(fingerprint("a"), NOW + CRASH_TTL_MS + 10);
    assert!(matches!(again, Verdict::Quarantined(_)));
    ledger.prune(NOW + CRASH_TTL_MS * 2 + 20);
    assert!(ledger.is_empty());
}

// Guards against a quarantine that is extended because the clock of the reporting instance is far ahead.
#[test]
fn a_clock_that_is_ahead_does_not_extend_a_quarantine() {
    let mut ledger = Ledger::default();
    let ahead = NOW + 10 * CRASH_TTL_MS;
    let crashes: Vec<_> = (1..=3).map(|at| crash("a", at, ahead)).collect();

    ledger.merge(&report(&crashes), NOW);

    let quarantined = Verdict::Quarantined(CRASH_TTL_MS - SETTLING_MS);
    assert_eq!(
        ledger.verdict(fingerprint("a"), NOW + SETTLING_MS),
        quarantined
    );
}

// Guards against unbounded memory use, and against losing a quarantined request here or at other instances, when 600
// upstreams repeatedly crash at the same moment with a dozen requests each.
#[test]
fn a_burst_of_crashes_is_bounded_and_evicts_no_quarantined_request() {
    let mut ledger = Ledger::default();
    for upstream in 1..=3 {
        ledger.record_crash(fingerprint("a"), &id(upstream), NOW);
    }
    let begun = std::time::Instant::now();

    for at in 0..40_000 {
        let now = NOW + at / 100;
        ledger.record_crash(
            fingerprint(&format!("flood {at}")),
            &id(100 + at as usize / 12),
            now,
        );
    }

    assert!(is_quarantined(&ledger, "a", NOW + 400));
    let own = ledger.local_report();
    assert_eq!(own.crashes.len(), MAX_ENTRIES);
    let kept = own
        .crashes
        .iter()
        .filter(|crash| crash.fingerprint == fingerprint("a"));
    assert_eq!(kept.count(), QUARANTINE_CRASHES);
    assert!(ledger.len() <= 4_096, "{}", ledger.len());
    // All requests of an instance together have only a fraction of one core's time.
    assert!(begun.elapsed().as_secs() < 20, "{:?}", begun.elapsed());
}

#[test]
fn suspects_avoid_upstreams_of_other_suspects() {
    let mut ledger = Ledger::default();
    let (a, b) = (fingerprint("a"), fingerprint("b"));
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

/// Generates the other requests that each crash affects, and the order in which an instance receives the crashes.
fn scenario() -> impl Strategy<Value = (Vec<Vec<usize>>, Vec<usize>)> {
    let crashes = prop::collection::vec(prop::collection::vec(0..6_usize, 0..4), 3..10);
    let order = prop::collection::vec(0..1_000_usize, 60);
    (crashes, order)
}

proptest! {
    // Guards against verdicts that depend on the order in which crashes are reported, so that a caller is served at
    // one instance and rejected at another. Once all crashes are known, no other affected request may be blamed. The
    // culprit is quarantined if each other request was spared by at least two of its crashes, which takes at most two
    // crashes more than three if other requests ran beside it only now and then.
    #[test]
    fn instances_with_the_same_reports_reach_the_same_verdict((crashes, order) in scenario()) {
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
            prop_assert_eq!(here.verdict(fingerprint(&name), NOW), there.verdict(fingerprint(&name), NOW));
            if name != "culprit" {
                prop_assert!(!is_quarantined(&here, &name, NOW), "{} is blamed", name);
            }
        }
        let most = (0..6).map(|name| crashes.iter().filter(|beside| beside.contains(&name)).count());
        if most.max() < Some(crashes.len() - 1) {
            prop_assert!(is_quarantined(&here, "culprit", NOW));
        }
    }

    // Guards against unbounded growth through reports of other instances, which may be old, of any size, or from a
    // clock that is far off.
    #[test]
    fn any_report_leaves_the_ledger_bounded(
        crashes in prop::collection::vec((0..9_usize, 0..9_usize, 0..u64::MAX), 0..60),
        successes in prop::collection::vec((0..9_usize, 0..u64::MAX), 0..9),
        now in CRASH_TTL_MS..NOW,
    ) {
        let crashes = crashes.iter().map(|(name, at, time)| crash(&name.to_string(), *at, *time));
        let successes = successes.iter().map(|(name, time)| Success {
            fingerprint: fingerprint(&name.to_string()),
            at: *time,
        });
        let report = Report { crashes: crashes.collect(), successes: successes.collect() };
        let mut ledger = Ledger::default();

        ledger.merge(&report, now);

        prop_assert!(ledger.len() <= 9);
        prop_assert!(ledger.local_report() == &Report::default());
        ledger.prune(now + CRASH_TTL_MS + 10_000);
        prop_assert!(ledger.is_empty());
    }
}
