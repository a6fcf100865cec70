//! Counting requests by window, and reporting each window once.

use std::sync::Arc;

use kernel::Set;
use proptest::prelude::*;
use usage::Counts;
use usage::Ledger;
use usage::Meter;
use usage::NextAction;
use usage::RequestAttempts;
use usage::Snapshot;
use usage::SnapshotStore;
use usage::WindowCounts;
use usage::Windows;
use yare::parameterized;

const LENGTH: u64 = 5_000;

fn windows() -> Windows {
    Windows::new(LENGTH)
}

fn team(name: &str) -> Arc<str> {
    name.into()
}

fn counts(all: &[(&str, u64)]) -> Counts {
    all.iter()
        .map(|(name, count)| (team(name), *count))
        .collect()
}

fn share(source: &str, closed: bool, all: &[(&str, u64)]) -> WindowCounts {
    WindowCounts {
        source: (source.into(), 1),
        closed,
        recent: true,
        counts: counts(all),
    }
}

fn live(all: &[&str]) -> Set<(Arc<str>, u64)> {
    all.iter().map(|name| ((*name).into(), 1)).collect()
}

// A request that was tried three times counted three times, one that was turned away unrun once, and one whose caller
// had left not at all.
#[parameterized(
    answered = { &[(10_100, false)], Some((2, 1)) },
    refused = { &[(10_100, true)], None },
    refused_then_answered = { &[(10_100, true), (10_300, false)], Some((2, 1)) },
    tried_twice = { &[(10_100, false), (10_300, false)], Some((2, 1)) },
    nowhere_sent = { &[], None },
    ran_in_the_next_window = { &[(14_990, true), (15_010, false)], Some((3, 1)) },
)]
fn a_request_counts_once_where_it_began_to_run(
    tries: &[(u64, bool)],
    expected: Option<(u64, u64)>,
) {
    let mut meter = Meter::new(windows(), 10_000);
    let mut attempts = RequestAttempts::default();
    meter.start_request(&mut attempts, 10_050);

    for (at, unrun) in tries {
        let number = attempts.record_send(*at);
        if *unrun {
            attempts.mark_unexecuted(number);
        }
    }
    meter.finish_request(&attempts, &team("a"));

    let snapshot = meter.snapshot(20_100);
    let found = snapshot
        .windows
        .first()
        .map(|(window, counts)| (*window, counts[0].1));
    assert_eq!((snapshot.through, found), (3, expected));
}

// A window was reported while a request of it was still at its upstream.
#[test]
fn a_window_stays_open_while_a_request_of_it_is_under_way() {
    let mut meter = Meter::new(windows(), 10_000);
    let (mut slow, mut quick) = (RequestAttempts::default(), RequestAttempts::default());
    meter.start_request(&mut slow, 12_000);
    slow.record_send(12_000);
    meter.start_request(&mut quick, 15_500);
    quick.record_send(15_500);
    meter.finish_request(&quick, &team("a"));

    let before = meter.snapshot(21_000).through;
    meter.finish_request(&slow, &team("a"));
    let after = meter.snapshot(21_000);

    assert_eq!((before, after.through), (1, 3));
    assert_eq!(
        after.windows,
        [(2, counts(&[("a", 1)])), (3, counts(&[("a", 1)]))]
    );
}

// The wall clock was set back by two seconds, and requests were counted in a window that was reported.
#[test]
fn a_clock_that_is_set_back_opens_no_window_that_is_closed() {
    let mut meter = Meter::new(windows(), 10_000);
    assert_eq!(meter.snapshot(15_100).through, 2);
    let mut attempts = RequestAttempts::default();

    meter.start_request(&mut attempts, 13_000);
    attempts.record_send(13_000);
    meter.finish_request(&attempts, &team("a"));

    assert_eq!(meter.snapshot(15_200).windows, [(3, counts(&[("a", 1)]))]);
}

#[test]
fn a_meter_that_nobody_asks_stays_bounded() {
    let mut meter = Meter::new(windows(), 0);

    for at in 0..500 {
        let mut attempts = RequestAttempts::default();
        meter.start_request(&mut attempts, at * LENGTH);
        attempts.record_send(at * LENGTH);
        meter.finish_request(&attempts, &team("a"));
        meter.snapshot(at * LENGTH);
    }

    // Those that may still be reported, and the one that is not closed.
    assert!(meter.snapshot(500 * LENGTH).windows.len() <= 25);
}

// The store was away and the holder changed: by the time somebody could report, twelve windows had gone by, and the
// entries had dropped the first ones (0 and 0 requests reported of 48 and 24).
#[test]
fn a_window_is_kept_for_as_long_as_it_may_be_reported() {
    let mut meter = Meter::new(windows(), LENGTH * 10);
    let mut attempts = RequestAttempts::default();
    meter.start_request(&mut attempts, LENGTH * 10);
    attempts.record_send(LENGTH * 10);
    meter.finish_request(&attempts, &team("a"));

    for at in 11..34 {
        meter.snapshot(at * LENGTH);
    }

    let kept = meter.snapshot(34 * LENGTH).windows;
    assert_eq!(kept, [(10, counts(&[("a", 1)]))]);
}

// A late word of an entry instance, which had counted less, took the place of a newer one.
#[test]
fn an_older_tally_changes_nothing() {
    let mut store = SnapshotStore::default();
    let snapshot = |through, count| Snapshot {
        through,
        windows: vec![(7, counts(&[("a", count)]))],
    };

    store.update(("e1".into(), 1), snapshot(7, 5));
    store.update(("e1".into(), 1), snapshot(6, 9));
    store.update(("e1".into(), 1), snapshot(7, 4));

    assert_eq!(store.window_counts(7), [share("e1", true, &[("a", 5)])]);
}

#[test]
fn a_keeper_stays_bounded_over_many_starts() {
    let mut store = SnapshotStore::default();

    for start in 0..20_000 {
        let snapshot = Snapshot {
            through: start / 10,
            windows: Vec::new(),
        };
        store.update(("e1".into(), start), snapshot);
    }

    assert!(store.window_counts(2_000).len() <= 300);
}

// An instance was killed: what its keeper had of it counts, beside its next start, and nobody waits for it.
#[test]
fn what_a_killed_instance_had_told_counts() {
    let ledger = Ledger::new(windows(), 10_000);
    let mut killed = share("e1", false, &[("a", 3)]);
    killed.source.1 = 0;
    let shares = vec![
        killed,
        share("e1", true, &[("a", 1)]),
        share("e2", true, &[("b", 2)]),
    ];

    let live = live(&["e1", "e2"]);
    let early = ledger.aggregate(2, shares.clone(), &live, 700, false);
    let report = ledger.aggregate(2, shares, &live, 1_500, false).unwrap();

    assert_eq!(early, None);
    assert_eq!(report.counts, counts(&[("a", 4), ("b", 2)]));
}

// An instance had started a moment ago, and the leader did not know yet that it lives: the window was reported without
// what it had counted in the last part of a second (18 and 9 requests of 20 and 10).
#[test]
fn an_instance_that_is_not_known_yet_is_waited_for() {
    let ledger = Ledger::new(windows(), 10_000);
    let (known, new) = (share("e1", true, &[]), share("e2", false, &[("a", 2)]));

    let early = ledger.aggregate(2, vec![known.clone(), new], &live(&["e1"]), 700, false);
    let told = vec![known, share("e2", true, &[("a", 5)])];
    let report = ledger
        .aggregate(2, told, &live(&["e1"]), 1_000, false)
        .unwrap();

    assert_eq!((early, report.counts), (None, counts(&[("a", 5)])));
}

// Two keepers had the same instance, since it changed between them; it was counted twice.
#[test]
fn an_instance_that_two_keepers_know_counts_once() {
    let ledger = Ledger::new(windows(), 10_000);
    let shares = vec![
        share("e1", false, &[("a", 2)]),
        share("e1", true, &[("a", 5)]),
    ];

    let report = ledger
        .aggregate(2, shares, &live(&["e1"]), 700, false)
        .unwrap();

    assert_eq!(report.counts, counts(&[("a", 5)]));
}

#[parameterized(
    heard_of_all = { &[("e1", true), ("e2", true)], false, true },
    one_open = { &[("e1", true), ("e2", false)], false, false },
    one_silent = { &[("e1", true)], false, false },
    one_silent_and_late = { &[("e1", true)], true, true },
)]
fn a_report_waits_for_all_that_live_until_it_is_late(
    told: &[(&str, bool)],
    late: bool,
    expected: bool,
) {
    let ledger = Ledger::new(windows(), 10_000);
    let shares: Vec<_> = told
        .iter()
        .map(|(name, closed)| share(name, *closed, &[]))
        .collect();
    let live = live(&["e1", "e2"]);

    let report = ledger.aggregate(2, shares.clone(), &live, 1_500, late);

    assert_eq!(report.is_some(), expected);
    assert_eq!(
        Ledger::missing_sources(&shares, &live).is_empty(),
        expected && !late
    );
}

// A window without requests is reported too: what is missing cannot be told from what was lost.
#[test]
fn windows_follow_one_another_without_a_gap() {
    let mut ledger = Ledger::new(windows(), 10_000);
    let mut windows_seen = Vec::new();

    for now in (10_000..40_000).step_by(500) {
        if let NextAction::Collect(window) = ledger.next_action(windows(), now) {
            let report = ledger
                .aggregate(window, Vec::new(), &Set::default(), 700, false)
                .unwrap();
            ledger.record(report);
            windows_seen.push(window);
        }
    }

    assert_eq!(windows_seen, [2, 3, 4, 5, 6]);
}

// A successor that had collected other figures reported a window once more with those.
#[test]
fn a_window_is_reported_with_one_figure() {
    let mut ledger = Ledger::new(windows(), 10_000);
    let report = |count| usage::Report {
        window: 2,
        counts: counts(&[("a", count)]),
    };

    ledger.record(report(5));
    ledger.record(report(6));

    assert_eq!(ledger.reports(), [report(5)]);
}

proptest! {
    // However requests, snapshots and the ends of windows interleave, each request counts in one window at most, once,
    // and no window changes after it was said to be closed.
    #[test]
    fn a_closed_window_never_changes(steps in prop::collection::vec((0_u8..4, 0_u64..900), 1..120)) {
        let mut meter = Meter::new(windows(), 100_000);
        let mut now = 100_000;
        let mut open: Vec<RequestAttempts> = Vec::new();
        let mut ended = 0;
        let mut closed: Vec<(u64, Counts)> = Vec::new();
        let mut told = std::collections::BTreeMap::new();
        for (what, time) in steps {
            now += time;
            match what {
                0 => {
                    let mut attempts = RequestAttempts::default();
                    meter.start_request(&mut attempts, now);
                    attempts.record_send(now);
                    open.push(attempts);
                }
                1 if !open.is_empty() => {
                    let attempts = open.remove(time as usize % open.len());
                    meter.finish_request(&attempts, &team("a"));
                    ended += 1;
                }
                _ => {
                    let snapshot = meter.snapshot(now);
                    told.extend(snapshot.windows.iter().map(|(window, counts)| (*window, counts[0].1)));
                    for (window, counts) in &closed {
                        let held = snapshot.windows.iter().find(|(number, _)| number == window);
                        if snapshot.windows.first().is_some_and(|(first, _)| first <= window) {
                            prop_assert_eq!(held.map(|(_, counts)| counts), Some(counts));
                        }
                    }
                    closed = snapshot.windows.into_iter().filter(|(window, _)| *window <= snapshot.through).collect();
                }
            }
        }
        // Each request is told, in one window, however long others held it open.
        for (window, counts) in meter.snapshot(now).windows {
            told.insert(window, counts[0].1);
        }
        prop_assert_eq!(told.values().sum::<u64>(), ended);
    }
}
