//! What a keeper knows of an entry instance whose oldest windows are dropped, or not closed for long.

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

/// Time between two words of an entry instance, in milliseconds.
const PUSH: u64 = 500;

/// Windows that an entry instance keeps.
const KEPT: u64 = 24;

/// The first window.
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

fn known(store: &SnapshotStore, window: u64) -> u64 {
    let shares = store.window_counts(window);
    let counts = shares.iter().flat_map(|share| &share.counts);
    counts.map(|(_, count)| count).sum()
}

// An entry instance that had served for longer than windows are kept dropped its oldest one; its keeper took all it
// told until the next window was closed for old words, and what it had counted was lost when it was killed.
#[test]
fn what_is_counted_after_the_oldest_window_was_dropped_is_known_to_the_keeper() {
    let mut meter = Meter::new(Windows::new(LENGTH), FIRST * LENGTH);
    let mut store = SnapshotStore::default();
    let last = FIRST + KEPT + 4;
    for now in (FIRST * LENGTH..last * LENGTH).step_by(100) {
        count(&mut meter, now);
        if now.is_multiple_of(PUSH) {
            store.update(source(), meter.snapshot(now));
        }
    }

    // The first of these words closes the last window.
    for at in 0..20 {
        let now = last * LENGTH + at * 100;
        count(&mut meter, now);
        if at % 5 == 4 {
            store.update(source(), meter.snapshot(now));
        }
    }

    assert_eq!(known(&store, last), 20);
    assert_eq!(known(&store, last - 1), 50);
}

// An older word that came late took the place of a newer one.
#[parameterized(
    nothing_counted_yet = { 10, &[] },
    counted_less = { 10, &[(11, 2)] },
    a_window_is_missing = { 10, &[(12, 4)] },
    closed_less = { 9, &[(11, 3), (12, 9)] },
)]
fn an_older_word_changes_nothing(through: u64, windows: &[(u64, u64)]) {
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

    assert_eq!((known(&store, 11), known(&store, 12)), (3, 4));
}

// One slow request held a window open for two minutes; its instance told what it counted meanwhile, and was killed, and
// the keeper knew of nothing.
#[test]
fn what_is_counted_behind_a_window_that_is_open_for_long_is_known_to_the_keeper() {
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

    assert_eq!(known(&store, last), 1);
    assert_eq!(known(&store, last - 1), 1);
}

proptest! {
    // A keeper that heard every word knew less of the newest windows than the instance had told.
    #[test]
    fn a_keeper_knows_the_newest_windows_as_they_were_told(
        pauses in proptest::collection::vec(0..LENGTH, 1..200),
        told in proptest::collection::vec(any::<bool>(), 200),
    ) {
        let mut meter = Meter::new(Windows::new(LENGTH), FIRST * LENGTH);
        let mut store = SnapshotStore::default();
        let mut now = FIRST * LENGTH;

        for (pause, told) in pauses.iter().zip(told) {
            now += pause;
            count(&mut meter, now);
            if !told {
                continue;
            }
            let snapshot = meter.snapshot(now);
            store.update(source(), snapshot.clone());

            for (window, counts) in &snapshot.windows {
                if window + KEPT > snapshot.through {
                    let sum: u64 = counts.iter().map(|(_, count)| count).sum();
                    prop_assert_eq!(known(&store, *window), sum, "window {}", window);
                }
            }
        }
    }
}

proptest! {
    // A window that had been reported and was no longer among the reports that are kept was counted and reported again
    // with another figure, after a holder whose clock is behind, or a pause for longer than reports are kept.
    #[test]
    fn no_window_is_reported_twice_whatever_the_holders_clocks_say(
        times in proptest::collection::vec(0..KEPT * LENGTH * 4, 1..200),
        begun in 0..KEPT * LENGTH * 4,
    ) {
        let start = FIRST * LENGTH;
        let mut ledger = Ledger::new(Windows::new(LENGTH), start + begun);
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
