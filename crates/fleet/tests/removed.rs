//! The bound between orders of two machines when the leader's record is removed.

use fleet::election::Candidate;
use fleet::election::CandidateAction;
use fleet::election::Phase;
use fleet::election::ProcessId;
use fleet::election::Record;
use kernel::Millis;
use yare::parameterized;

/// Minimum time between orders of two machines, in milliseconds.
const EXCLUSION: Millis = 3_000;

/// Interval between reads of the record, in milliseconds.
const READ_INTERVAL: Millis = 300;

fn process_id(machine: usize) -> ProcessId {
    ProcessId {
        machine: format!("10.0.0.{machine}").into(),
        start: 1,
    }
}

// Guards against orders of two machines within the bound. The record was removed while its leader could still give
// orders, and another machine concluded that there had never been a leader and gave orders at once.
#[parameterized(
    at_the_next_read = { 1 },
    after_some_reads = { 4 },
)]
fn a_leader_whose_record_is_removed_may_still_order_for_a_while(reads: u64) {
    let mut leader = Candidate::new(process_id(1), EXCLUSION);
    leader.observe(None, 0);
    let leader = leader.won(5, 0);
    let record = Record {
        leader: process_id(1),
        phase: Phase::Ordering,
    };
    let mut other = Candidate::new(process_id(2), EXCLUSION);
    other.observe(Some((&record, 5)), 100);

    let mut now = 100;
    for _ in 0..reads {
        now += READ_INTERVAL;
        // The writes after the first reads get no reply and take no effect.
        let next = other.observe(None, now);
        assert!(matches!(next, CandidateAction::Claim(0, _)));
    }
    let mut other = other.won(9, now);

    let last = (0..10_000)
        .rev()
        .find(|time| leader.may_order(*time))
        .unwrap();
    let mut first = now;
    while !other.may_order(first) {
        first += 10;
        other.renewed(9, first);
    }
    assert!(last > now - READ_INTERVAL * reads);
    assert!(first >= last + EXCLUSION, "{last} {first}");
}

// Guards against a machine that, having once seen a record, starts to wait again at each read for a leader that is
// long gone.
#[test]
fn the_wait_after_a_removed_record_ends() {
    let record = Record {
        leader: process_id(1),
        phase: Phase::Ordering,
    };
    let mut candidate = Candidate::new(process_id(2), EXCLUSION);
    candidate.observe(Some((&record, 5)), 100);

    for now in (400..20_000).step_by(READ_INTERVAL as usize) {
        candidate.observe(None, now);
    }

    assert!(candidate.won(9, 20_000).may_order(20_000));
}
