//! Tests of counting requests by window and of reporting each window once.

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

fn window_counts(source: &str, closed: bool, all: &[(&str, u64)]) -> WindowCounts {
    WindowCounts {
        source: (source.into(), 1),
        closed,
        recent: true,
        counts: counts(all),
    }
}

fn live_sources(all: &[&str]) -> Set<(Arc<str>, u64)> {
    all.iter().map(|name| ((*name).into(), 1)).collect()
}

// Guards against counting each attempt at a request, counting a request that was rejected without being executed, and
// not counting one whose caller disconnected.
#[parameterized(
    answered = { &[(10_100, false)], Some((2, 1)) },
    rejected = { &[(10_100, true)], None },
    rejected_then_answered = { &[(10_100, true), (10_300, false)], Some((2, 1)) },
    attempted_twice = { &[(10_100, false), (10_300, false)], Some((2, 1)) },
    never_sent = { &[], None },
    executed_in_the_next_window = { &[(14_990, true), (15_010, false)], Some((3, 1)) },
)]
fn a_request_counts_once_in_the_window_of_its_first_execution(
    sends: &[(u64, bool)],
    expected: Option<(u64, u64)>,
) {
    let mut meter = Meter::new(windows(), 10_000);
    let mut attempts = RequestAttempts::default();
    meter.start_request(&mut attempts, 10_050);

    for (at, is_unexecuted) in sends {
        let number = attempts.record_send(*at);
        if *is_unexecuted {
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

// Guards against reporting a window while an upstream still processes a request of it.
#[test]
fn a_window_stays_open_while_a_request_of_it_is_in_progress() {
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

// Guards against counting requests in a reported window after the wall clock was set back by two seconds.
#[test]
fn a_clock_that_is_set_back_does_not_reopen_a_window() {
    let mut meter = Meter::new(windows(), 10_000);
    assert_eq!(meter.snapshot(15_100).through, 2);
    let mut attempts = RequestAttempts::default();

    meter.start_request(&mut attempts, 13_000);
    attempts.record_send(13_000);
    meter.finish_request(&attempts, &team("a"));

    assert_eq!(meter.snapshot(15_200).windows, [(3, counts(&[("a", 1)]))]);
}

#[test]
fn a_meter_stays_bounded_without_reports() {
    let mut meter = Meter::new(windows(), 0);

    for at in 0..500 {
        let mut attempts = RequestAttempts::default();
        meter.start_request(&mut attempts, at * LENGTH);
        attempts.record_send(at * LENGTH);
        meter.finish_request(&attempts, &team("a"));
        meter.snapshot(at * LENGTH);
    }

    // The windows that can still be reported, and the open one.
    assert!(meter.snapshot(500 * LENGTH).windows.len() <= 25);
}

// Guards against dropping windows before they are reported: the platform's store was unreachable and the leader changed,
// so twelve windows passed without a report, and entry instances had dropped the first ones (0 and 0 requests were
// reported of 48 and 24).
#[test]
fn a_window_is_kept_while_it_can_be_reported() {
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

// Guards against a late snapshot with lower counts that replaces a newer one.
#[test]
fn an_older_snapshot_changes_nothing() {
    let mut store = SnapshotStore::default();
    let snapshot = |through, count| Snapshot {
        through,
        windows: vec![(7, counts(&[("a", count)]))],
    };

    store.update(("e1".into(), 1), snapshot(7, 5));
    store.update(("e1".into(), 1), snapshot(6, 9));
    store.update(("e1".into(), 1), snapshot(7, 4));

    assert_eq!(
        store.window_counts(7),
        [window_counts("e1", true, &[("a", 5)])]
    );
}

#[test]
fn a_store_stays_bounded_over_many_starts() {
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

// The stored counts of a killed instance are added to those of its next start, and the leader does not wait for it.
#[test]
fn the_stored_counts_of_a_killed_instance_are_reported() {
    let ledger = Ledger::new(windows(), 10_000);
    let mut killed = window_counts("e1", false, &[("a", 3)]);
    killed.source.1 = 0;
    let counts_by_source = vec![
        killed,
        window_counts("e1", true, &[("a", 1)]),
        window_counts("e2", true, &[("b", 2)]),
    ];

    let live = live_sources(&["e1", "e2"]);
    let early = ledger.aggregate(2, counts_by_source.clone(), &live, 700, false);
    let report = ledger
        .aggregate(2, counts_by_source, &live, 1_500, false)
        .unwrap();

    assert_eq!(early, None);
    assert_eq!(report.counts, counts(&[("a", 4), ("b", 2)]));
}

// Guards against incomplete reports after an instance starts: the leader did not know yet that the instance was alive,
// and reported the window without what it had counted in the last fraction of a second (18 and 9 requests of 20 and 10).
#[test]
fn a_report_waits_for_an_instance_that_is_not_known_yet() {
    let ledger = Ledger::new(windows(), 10_000);
    let (known, new) = (
        window_counts("e1", true, &[]),
        window_counts("e2", false, &[("a", 2)]),
    );

    let early = ledger.aggregate(
        2,
        vec![known.clone(), new],
        &live_sources(&["e1"]),
        700,
        false,
    );
    let complete = vec![known, window_counts("e2", true, &[("a", 5)])];
    let report = ledger
        .aggregate(2, complete, &live_sources(&["e1"]), 1_000, false)
        .unwrap();

    assert_eq!((early, report.counts), (None, counts(&[("a", 5)])));
}

// Guards against counting an instance twice that has changed the instance which stores its snapshots, so that two have
// one.
#[test]
fn an_instance_in_two_stores_counts_once() {
    let ledger = Ledger::new(windows(), 10_000);
    let counts_by_source = vec![
        window_counts("e1", false, &[("a", 2)]),
        window_counts("e1", true, &[("a", 5)]),
    ];

    let report = ledger
        .aggregate(2, counts_by_source, &live_sources(&["e1"]), 700, false)
        .unwrap();

    assert_eq!(report.counts, counts(&[("a", 5)]));
}

#[parameterized(
    all_closed = { &[("e1", true), ("e2", true)], false, true },
    one_open = { &[("e1", true), ("e2", false)], false, false },
    one_missing = { &[("e1", true)], false, false },
    one_missing_and_late = { &[("e1", true)], true, true },
)]
fn a_report_waits_for_all_live_instances_until_it_is_late(
    sources: &[(&str, bool)],
    late: bool,
    expected: bool,
) {
    let ledger = Ledger::new(windows(), 10_000);
    let counts_by_source: Vec<_> = sources
        .iter()
        .map(|(name, closed)| window_counts(name, *closed, &[]))
        .collect();
    let live = live_sources(&["e1", "e2"]);

    let report = ledger.aggregate(2, counts_by_source.clone(), &live, 1_500, late);

    assert_eq!(report.is_some(), expected);
    assert_eq!(
        Ledger::missing_sources(&counts_by_source, &live).is_empty(),
        expected && !late
    );
}

// A window without requests is reported too, since a missing report could not be told from a lost one.
#[test]
fn windows_are_reported_without_gaps() {
    let mut ledger = Ledger::new(windows(), 10_000);
    let mut reported = Vec::new();

    for now in (10_000..40_000).step_by(500) {
        if let NextAction::Collect(window) = ledger.next_action(windows(), now) {
            let report = ledger
                .aggregate(window, Vec::new(), &Set::default(), 700, false)
                .unwrap();
            ledger.record(report);
            reported.push(window);
        }
    }

    assert_eq!(reported, [2, 3, 4, 5, 6]);
}

// Guards against a new leader that collected other counts and reports a window again with those.
#[test]
fn a_window_is_not_reported_again_with_other_counts() {
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
    // However requests, snapshots and the ends of windows interleave, each request counts once, in one window, and no
    // window changes after a snapshot stated it as closed.
    #[test]
    fn a_closed_window_never_changes(steps in prop::collection::vec((0_u8..4, 0_u64..900), 1..120)) {
        let mut meter = Meter::new(windows(), 100_000);
        let mut now = 100_000;
        let mut open: Vec<RequestAttempts> = Vec::new();
        let mut ended = 0;
        let mut closed: Vec<(u64, Counts)> = Vec::new();
        let mut counted = std::collections::BTreeMap::new();
        for (operation, time) in steps {
            now += time;
            match operation {
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
                    counted.extend(snapshot.windows.iter().map(|(window, counts)| (*window, counts[0].1)));
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
        // Each request appears in one window, however long other requests kept the window open.
        for (window, counts) in meter.snapshot(now).windows {
            counted.insert(window, counts[0].1);
        }
        prop_assert_eq!(counted.values().sum::<u64>(), ended);
    }
}
