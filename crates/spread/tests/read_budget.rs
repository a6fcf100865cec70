//! How many instances read the platform for themselves when nobody is told anything.

use spread::read_budget::is_turn;
use spread::read_budget::rounds_per_read;

/// Bytes that a read of the list takes an entry.
const ENTRY: usize = 400;

/// Bytes a second that the slowest link of a platform carries.
const LINK: usize = 125 << 20;

// Guards against reads that take the platform's link for longer than anybody waits, so that all begin again.
#[test]
fn all_instances_together_take_a_part_of_the_platforms_link() {
    for (members, entries) in [
        (300, 3_000),
        (1_000, 10_000),
        (2_000, 20_000),
        (5_000, 50_000),
    ] {
        let every = rounds_per_read(members, entries);

        for round in 0..20 {
            let reads = |at: &usize| is_turn(&format!("n{at}"), round, every);
            let reads = (0..members).filter(reads).count();
            // Turns are spread by name, so some rounds have a few more.
            let bytes = reads * entries * ENTRY;
            assert!(bytes < LINK, "{members}: {reads} reads, {bytes} bytes");
        }
    }
}

// Guards against an instance that waits for its turn though a few may all read.
#[test]
fn where_instances_are_few_each_may_read_in_any_round() {
    let every = rounds_per_read(65, 50);

    for round in 0..5 {
        assert!(is_turn("n1", round, every));
    }
}

// Guards against an instance that never reads.
#[test]
fn each_instance_has_its_turn() {
    let every = rounds_per_read(1_000, 1_000);

    let turns = (0..every).filter(|round| is_turn("n1", *round, every));

    assert_eq!(turns.count(), 1);
}
