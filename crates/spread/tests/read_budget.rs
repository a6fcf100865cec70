//! How many instances read the platform at once when none gets updates.

use spread::read_budget::is_turn;
use spread::read_budget::rounds_per_read;

/// Bytes that an entry takes in a read of the list.
const ENTRY_BYTES: usize = 400;

/// Bytes per second that the slowest link of a platform carries.
const LINK_BYTES_PER_SECOND: usize = 125 << 20;

// Guards against reads that saturate the platform's link for longer than the timeouts, so that all instances retry.
#[test]
fn reads_of_all_instances_take_a_bounded_share_of_the_link() {
    for (members, entries) in [
        (300, 3_000),
        (1_000, 10_000),
        (2_000, 20_000),
        (5_000, 50_000),
    ] {
        let rounds = rounds_per_read(members, entries);

        for round in 0..20 {
            let reads = |index: &usize| is_turn(&format!("n{index}"), round, rounds);
            let reads = (0..members).filter(reads).count();
            // Turns are distributed by a hash of the name, so some rounds have a few more reads.
            let bytes = reads * entries * ENTRY_BYTES;
            assert!(
                bytes < LINK_BYTES_PER_SECOND,
                "{members}: {reads} reads, {bytes} bytes"
            );
        }
    }
}

// Guards against an instance that waits for its turn though all of a few instances may read.
#[test]
fn few_instances_may_read_in_every_round() {
    let rounds = rounds_per_read(65, 50);

    for round in 0..5 {
        assert!(is_turn("n1", round, rounds));
    }
}

// Guards against an instance that never reads.
#[test]
fn each_instance_has_its_turn() {
    let rounds = rounds_per_read(1_000, 1_000);

    let turns = (0..rounds).filter(|round| is_turn("n1", *round, rounds));

    assert_eq!(turns.count(), 1);
}
