//! Tests of stored snapshots when an entry instance drops its oldest windows or keeps one open for long.

use std::sync::Arc;

use proptest::prelude::*;
use usage::Counts;
use usage::Ledger;
use usage::Meter;
use usage::NextAction;
use usage::Report;
use usage::RequestAttempts;
use usage::Snapshot;
use usage::SnapshotStore;
use usage::Windows;
use yare::parameterized;

/// Length of a window, in milliseconds.
const LENGTH: u64 = 5_000;

/// Time between two snapshots of an entry instance, in milliseconds.
const PUSH: u64 = 500;

/// Closed windows that an entry instance keeps.
const KEPT: u64 = 24;

/// Number of the first window.
const FIRST: u64 = 1_000;

fn team() -> Arc<str> {
    "a".into()
}

fn source() -> (Arc<str>, u64) {
    ("e1".into(), 1)
}

fn one(count: u64) -> Counts {
    vec![(team(), count)]
}

fn count(meter: &mut Meter, now: u64) {
    let mut attempts = RequestAttempts::default();
    meter.start_request(&mut attempts, now);
    attempts.record_send(now);
    meter.finish_request(&attempts, &team());
}

fn stored_count(store: &SnapshotStore, window: u64) -> u64 {
    let windows = store.window_counts(window);
    let counts = windows.iter().flat_map(|window| &window.counts);
    counts.map(|(_, count)| count).sum()
}

// Guards against lost counts: an entry instance that has run for longer than windows are kept drops its oldest window.
// Its next snapshots were taken for older ones until it closed another window, and were lost when it was killed.
#[test]
fn counts_after_the_oldest_window_was_dropped_are_stored() {
    let mut meter = Meter::new(Windows::new(LENGTH), FIRST * LENGTH);
    let mut store = SnapshotStore::default();
    let last = FIRST + KEPT + 4;
    for now in (FIRST * LENGTH..last * LENGTH).step_by(100) {
        count(&mut meter, now);
        if now.is_multiple_of(PUSH) {
            store.update(source(), meter.snapshot(now));
        }
    }

    // The first of these snapshots closes the last window.
    for at in 0..20 {
        let now = last * LENGTH + at * 100;
        count(&mut meter, now);
        if at % 5 == 4 {
            store.update(source(), meter.snapshot(now));
        }
    }

    assert_eq!(stored_count(&store, last), 20);
    assert_eq!(stored_count(&store, last - 1), 50);
}

// Guards against an older snapshot that arrives late and replaces a newer one.
#[parameterized(
    nothing_counted_yet = { 10, &[] },
    counted_less = { 10, &[(11, 2)] },
    a_window_is_missing = { 10, &[(12, 4)] },
    closed_less = { 9, &[(11, 3), (12, 9)] },
)]
fn an_older_snapshot_changes_nothing(through: u64, windows: &[(u64, u64)]) {
    let newer = [(11, 3), (12, 4)].map(|(window, sum)| (window, one(sum)));
    let newer = Snapshot {
        through: 10,
        windows: newer.into(),
    };
    let windows = windows.iter().map(|(window, sum)| (*window, one(*sum)));
    let older = Snapshot {
        through,
        windows: windows.collect(),
    };
    let mut store = SnapshotStore::default();
    store.update(source(), newer);

    store.update(source(), older);

    assert_eq!((stored_count(&store, 11), stored_count(&store, 12)), (3, 4));
}

// Guards against lost counts behind a slow request: it kept a window open for two minutes, and the snapshots that its
// instance sent in that time, before it was killed, were ignored.
#[test]
fn counts_behind_a_window_that_is_open_for_long_are_stored() {
    let mut meter = Meter::new(Windows::new(LENGTH), FIRST * LENGTH);
    let mut slow = RequestAttempts::default();
    meter.start_request(&mut slow, FIRST * LENGTH);
    slow.record_send(FIRST * LENGTH);
    let last = FIRST + KEPT + 6;
    let mut store = SnapshotStore::default();

    for window in FIRST..=last {
        count(&mut meter, window * LENGTH + 100);
        store.update(source(), meter.snapshot(window * LENGTH + 400));
    }

    assert_eq!(stored_count(&store, last), 1);
    assert_eq!(stored_count(&store, last - 1), 1);
}

proptest! {
    // Guards against a store that received every snapshot but has lower counts of the newest windows than they state.
    #[test]
    fn a_store_has_the_newest_windows_as_the_snapshots_state_them(
        pauses in proptest::collection::vec(0..LENGTH, 1..200),
        is_sent in proptest::collection::vec(any::<bool>(), 200),
    ) {
        let mut meter = Meter::new(Windows::new(LENGTH), FIRST * LENGTH);
        let mut store = SnapshotStore::default();
        let mut now = FIRST * LENGTH;

        for (pause, is_sent) in pauses.iter().zip(is_sent) {
            now += pause;
            count(&mut meter, now);
            if !is_sent {
                continue;
            }
            let snapshot = meter.snapshot(now);
            store.update(source(), snapshot.clone());

            for (window, counts) in &snapshot.windows {
                if window + KEPT > snapshot.through {
                    let sum: u64 = counts.iter().map(|(_, count)| count).sum();
                    prop_assert_eq!(stored_count(&store, *window), sum, "window {}", window);
                }
            }
        }
    }
}

proptest! {
    // Guards against reporting a window again with other counts once its report is no longer kept, after a leader whose
    // clock is behind or a pause for longer than reports are kept.
    #[test]
    fn no_window_is_reported_twice_whatever_the_clocks_of_leaders_say(
        times in proptest::collection::vec(0..KEPT * LENGTH * 4, 1..200),
        start_offset in 0..KEPT * LENGTH * 4,
    ) {
        let start = FIRST * LENGTH;
        let mut ledger = Ledger::new(Windows::new(LENGTH), start + start_offset);
        let mut reported = Vec::new();

        for time in times {
            let NextAction::Collect(window) = ledger.next_action(Windows::new(LENGTH), start + time) else {
                continue;
            };
            ledger.record(Report { window, counts: one(time) });
            reported.push(window);
            let newest = ledger.reports().last().map(|report| report.window);
            prop_assert_eq!(newest, Some(window));
        }

        prop_assert!(reported.is_sorted_by(|one, next| one < next), "{reported:?}");
    }
}
