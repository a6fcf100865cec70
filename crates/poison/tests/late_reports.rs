//! Tests of requests that succeeded and whose crashes are reported again or late.

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
use proptest::prelude::*;
use yare::parameterized;

/// The current time in milliseconds since 1970.
const NOW: Millis = 1_750_000_000_000;

/// Time between two calls of [`Ledger::prune`] in milliseconds.
const PRUNE_INTERVAL_MS: Millis = 1_000;

fn fingerprint() -> Fingerprint {
    Fingerprint::new("GET", "shop.example", "/a", b"", b"")
}

fn crashes(at: Millis) -> Report {
    let one = |number| Crash {
        fingerprint: fingerprint(),
        upstream: format!("i-{number}").into(),
        at,
    };
    Report {
        crashes: (0..QUARANTINE_CRASHES).map(one).collect(),
        ..Report::default()
    }
}

fn success(at: Millis) -> Report {
    Report {
        successes: vec![Success {
            fingerprint: fingerprint(),
            at,
        }],
        ..Report::default()
    }
}

fn prune_until(ledger: &mut Ledger, from: Millis, to: Millis) {
    for now in (from..to).step_by(PRUNE_INTERVAL_MS as usize) {
        ledger.prune(now);
    }
}

// Guards against an instance that, just started, reads a request's success before the crashes that preceded it and
// rejects the request for ten minutes.
#[parameterized(
    success_first = { &[success(NOW + 5_000), crashes(NOW)] },
    crashes_first = { &[crashes(NOW), success(NOW + 5_000)] },
)]
fn the_order_in_which_reports_are_read_does_not_matter(reports: &[Report]) {
    let mut ledger = Ledger::default();

    for report in reports {
        ledger.merge(report, NOW + 20_000);
    }

    let verdict = ledger.verdict(fingerprint(), NOW + 20_000);
    assert_eq!(verdict, Verdict::Unrestricted);
}

// Guards against a request that succeeded here but is rejected for the rest of ten minutes, because another instance
// rewrote its report with the earlier crashes half a minute later.
#[parameterized(
    soon = { 5_000 },
    later = { 30_000 },
    much_later = { 300_000 },
    at_the_end = { CRASH_TTL_MS - 10_000 },
)]
fn crashes_that_are_reported_again_do_not_count_again(pause: Millis) {
    let mut ledger = Ledger::default();
    ledger.merge(&crashes(NOW), NOW);
    ledger.record_success(fingerprint(), NOW + 1_000);
    let again = NOW + 1_000 + pause;
    prune_until(&mut ledger, NOW + 1_000, again);

    ledger.merge(&crashes(NOW), again);

    assert_eq!(ledger.verdict(fingerprint(), again), Verdict::Unrestricted);
}

// Guards against the same failure at an instance that learned of the success from another instance.
#[test]
fn crashes_that_are_reported_again_do_not_count_after_a_reported_success() {
    let mut ledger = Ledger::default();
    ledger.merge(&crashes(NOW), NOW);
    ledger.merge(&success(NOW + 1_000), NOW + 2_000);
    prune_until(&mut ledger, NOW + 2_000, NOW + 60_000);

    ledger.merge(&crashes(NOW), NOW + 60_000);

    assert_eq!(
        ledger.verdict(fingerprint(), NOW + 60_000),
        Verdict::Unrestricted
    );
}

// Guards against a request that crashes more upstreams after its quarantine than before. Its crashes expire one by
// one, or all at once if they happened at the same moment.
#[parameterized(
    crashes_of_one_moment = { 0, QUARANTINE_CRASHES },
    crashes_far_apart = { 60_000, 1 },
)]
fn after_its_quarantine_a_request_is_quarantined_again_after_as_many_crashes_at_most(
    apart: Millis,
    expected: usize,
) {
    let mut ledger = Ledger::default();
    for at in 0..QUARANTINE_CRASHES {
        let time = NOW + apart * at as Millis;
        ledger.record_crash(fingerprint(), &format!("i-{at}").into(), time);
    }
    let mut now = NOW + CRASH_TTL_MS;
    prune_until(&mut ledger, NOW + apart * QUARANTINE_CRASHES as Millis, now);
    assert!(ledger.verdict(fingerprint(), now) <= Verdict::Suspect);

    let mut more = 0;
    while ledger.verdict(fingerprint(), now) <= Verdict::Suspect {
        more += 1;
        ledger.record_crash(fingerprint(), &format!("j-{more}").into(), now);
        now += SETTLING_MS;
    }

    assert_eq!(more, expected);
}

// Guards against successes that never expire and accumulate for as long as the instance runs.
#[test]
fn a_success_is_dropped_when_no_crash_before_it_can_count() {
    let mut ledger = Ledger::default();
    ledger.merge(&success(NOW), NOW);
    ledger.merge(&crashes(NOW - 1_000), NOW);

    ledger.prune(NOW + CRASH_TTL_MS + 1);

    assert!(ledger.is_empty());
}

// Guards against an overflow of the sum of times when the clock of the reporting instance is far off.
#[parameterized(
    long_ago = { 0 },
    at_the_end_of_time = { u64::MAX },
)]
fn a_success_of_any_time_is_merged(at: Millis) {
    let mut ledger = Ledger::default();

    ledger.merge(&success(at), NOW);
    ledger.prune(NOW + CRASH_TTL_MS + 1);

    assert!(ledger.is_empty());
}

/// The kind of a report that an instance receives.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Crashes,
    Success,
}

proptest! {
    // Guards against instances that received the same reports but reach different verdicts, depending on when and
    // how often they received them.
    #[test]
    fn a_verdict_depends_on_the_reports_and_not_on_their_timing(
        reports in proptest::collection::vec(
            (prop_oneof![Just(Kind::Crashes), Just(Kind::Success)], 0..40_000_u64),
            1..12,
        ),
    ) {
        let (mut ledger, mut now) = (Ledger::default(), NOW + 5_000);
        let mut received = (false, false);
        for (kind, pause) in reports {
            prune_until(&mut ledger, now, now + pause);
            now += pause;
            match kind {
                Kind::Crashes => ledger.merge(&crashes(NOW), now),
                Kind::Success => ledger.merge(&success(NOW + 1_000), now),
            }
            match kind {
                Kind::Crashes => received.0 = true,
                Kind::Success => received.1 = true,
            }
        }

        let quarantined = matches!(ledger.verdict(fingerprint(), now + SETTLING_MS), Verdict::Quarantined(_));

        prop_assert_eq!(quarantined, received == (true, false));
    }
}
