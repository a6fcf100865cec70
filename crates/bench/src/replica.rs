//! Cost of replicating the list of upstreams to another instance, by its length.

use std::hint::black_box;
use std::time::Instant;

use load::Table;
use plat::Item;
use plat::Listing;
use spread::Replica;
use spread::SyncState;

/// Size of the value of an entry.
const VALUE_BYTES: usize = 220;

/// Number of updates that are timed together.
const ITERATIONS: u32 = 200;

fn listing(entries: usize) -> Listing {
    let item = |index: usize| Item {
        key: format!("servers/i-{index:012x}"),
        value: vec![0; VALUE_BYTES],
        // Revisions in a real list do not follow the order of the keys.
        rev: (index * 7_919 % entries) as i64 + 1,
    };
    Listing {
        items: (0..entries).map(item).collect(),
        since: entries as i64,
    }
}

/// Sends the whole list to an empty follower and returns the number of parts.
fn sync_empty_follower(replica: &Replica) -> usize {
    let mut follower = Replica::default();
    let mut parts = 0;
    while follower.rev() < replica.rev() {
        let update = replica.update_since(follower.sync_state(0), 0);
        follower.merge(&update, 0);
        parts += 1;
    }
    parts
}

/// Runs the benchmark and prints its results.
pub(crate) fn run() {
    let mut table = Table::default();
    for entries in [1_000, 10_000, 20_000, 50_000] {
        let mut replica = Replica::default();
        replica.apply_read(listing(entries), 1, 0);
        let sync_state = SyncState {
            rev: entries as i64 - 1,
            edition: 1,
            ..SyncState::default()
        };
        let start = Instant::now();
        for _ in 0..ITERATIONS {
            black_box(replica.update_since(black_box(sync_state), 0));
        }
        let update_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS);
        table.row(
            format!("{entries} entries: us to compute an update of one changed entry"),
            format!("{update_us:.1}"),
        );
        let start = Instant::now();
        let parts = black_box(sync_empty_follower(&replica));
        let sync_ms = start.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!(
                "{entries} entries: ms to send the whole list in {parts} parts, including the follower's merge"
            ),
            format!("{sync_ms:.1}"),
        );
        let start = Instant::now();
        replica.apply_read(listing(entries), 2, 0);
        let read_ms = start.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!("{entries} entries: ms to apply a read without changes"),
            format!("{read_ms:.1}"),
        );
    }
    print!("{table}");
}
