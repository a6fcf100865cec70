//! Tests of records that other versions have written.

use crash::CrashTracker;
use crash::Subject;
use kernel::Millis;
use plat::Item;
use poison::Crash;
use poison::Fingerprint;
use poison::Observations;
use poison::Report;
use poison::Verdict;

/// Time after which other requests at the same upstreams are known, in milliseconds.
const DECISION_TIME: Millis = 10_000;

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::new("POST", "shop.example", path, b"", b"")
}

/// A report that a request has crashed several upstreams, long enough ago for a verdict.
fn crashes(fingerprint: Fingerprint) -> Report {
    let at = clock::Clock::default().wall() - DECISION_TIME;
    let crash = |upstream: usize| Crash {
        fingerprint,
        upstream: format!("i-{upstream}").into(),
        at,
    };
    Report {
        crashes: (0..5).map(crash).collect(),
        ..Report::default()
    }
}

/// The record of an instance with these observations.
fn record(observations: &Observations) -> Item {
    Item {
        key: "crashes/e1".into(),
        value: rmp_serde::to_vec(observations).unwrap(),
        rev: 1,
    }
}

// Guards against a call or an item that is held because an instance of an earlier version has counted crashes of its group.
#[test]
fn groups_in_the_record_of_an_earlier_version_hold_nothing() {
    let tracker = CrashTracker::default();
    let (call, group) = (fingerprint("/call"), fingerprint("/group"));
    let observations = Observations {
        exact: crashes(call),
        group: crashes(group),
    };

    crash::report::merge_record(&tracker, &record(&observations));

    assert!(matches!(
        tracker.verdict(|| Subject::Call(call)),
        Verdict::Quarantined(_)
    ));
    assert_eq!(
        tracker.verdict(|| Subject::Call(group)),
        Verdict::Unrestricted
    );
    assert_eq!(tracker.verdict(|| Subject::Item), Verdict::Unrestricted);
}

// Guards against an instance of an earlier version that cannot read the record of this one, which has no groups.
#[test]
fn a_record_without_groups_keeps_the_shape_of_an_earlier_version() {
    let tracker = std::sync::Arc::new(CrashTracker::default());
    tracker.record_crash(fingerprint("/call"), &"i-1".into());

    let record = record(&tracker.local_observations());

    let (exact, group): (Report, Report) = rmp_serde::from_slice(&record.value).unwrap();
    assert_eq!(exact.crashes.len(), 1);
    assert_eq!(group, Report::default());
}
