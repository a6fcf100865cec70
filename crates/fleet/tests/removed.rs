//! What becomes of the leader's bound when its record is removed.

use fleet::election::Candidate;
use fleet::election::CandidateAction;
use fleet::election::Phase;
use fleet::election::ProcessId;
use fleet::election::Record;
use kernel::Millis;
use yare::parameterized;

/// Time within which two machines must not both order, in milliseconds.
const TURN: Millis = 3_000;

/// Time between two reads of the record, in milliseconds.
const LOOK: Millis = 300;

fn seat(machine: usize) -> ProcessId {
    ProcessId {
        machine: format!("10.0.0.{machine}").into(),
        start: 1,
    }
}

// The record was removed while its leader could order; another machine took that for proof that nobody had ever led,
// and ordered at once.
#[parameterized(
    at_the_next_look = { 1 },
    after_some_looks = { 4 },
)]
fn a_leader_whose_record_is_removed_may_still_order_for_a_while(looks: u64) {
    let mut leader = Candidate::new(seat(1), TURN);
    leader.observe(None, 0);
    let leader = leader.won(5, 0);
    let record = Record {
        leader: seat(1),
        phase: Phase::Ordering,
    };
    let mut other = Candidate::new(seat(2), TURN);
    other.observe(Some((&record, 5)), 100);

    let mut now = 100;
    for _ in 0..looks {
        now += LOOK;
        // The writes of the first looks are not answered, and take no effect.
        let next = other.observe(None, now);
        assert!(matches!(next, CandidateAction::Claim(0, _)));
    }
    let mut other = other.won(9, now);

    let last = (0..10_000).rev().find(|at| leader.may_order(*at)).unwrap();
    let mut first = now;
    while !other.may_order(first) {
        first += 10;
        other.renewed(9, first);
    }
    assert!(last > now - LOOK * looks);
    assert!(first >= last + TURN, "{last} {first}");
}

// A machine that had once seen a record waited for a leader that is long gone, each time anew.
#[test]
fn the_wait_after_a_removed_record_ends() {
    let record = Record {
        leader: seat(1),
        phase: Phase::Ordering,
    };
    let mut candidate = Candidate::new(seat(2), TURN);
    candidate.observe(Some((&record, 5)), 100);

    for now in (400..20_000).step_by(LOOK as usize) {
        candidate.observe(None, now);
    }

    assert!(candidate.won(9, 20_000).may_order(20_000));
}
