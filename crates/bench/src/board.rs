//! What it costs to tell other instances of the list of upstreams, by its length.

use std::hint::black_box;
use std::time::Instant;

use load::Table;
use plat::Item;
use plat::Listing;
use spread::Replica;
use spread::SyncState;

/// Bytes of an entry.
const VALUE: usize = 220;

/// Answers that are timed together.
const TIMES: u32 = 200;

fn listing(entries: usize) -> Listing {
    let item = |at: usize| Item {
        key: format!("servers/i-{at:012x}"),
        value: vec![0; VALUE],
        // The revisions of a list say nothing of the order of its keys.
        rev: (at * 7_919 % entries) as i64 + 1,
    };
    Listing {
        items: (0..entries).map(item).collect(),
        since: entries as i64,
    }
}

/// Tells a follower that knows nothing the whole list; gives the parts.
fn tell(board: &Replica) -> usize {
    let mut follower = Replica::default();
    let mut parts = 0;
    while follower.rev() < board.rev() {
        let news = board.update_since(follower.sync_state(0), 0);
        follower.merge(&news, 0);
        parts += 1;
    }
    parts
}

/// Runs the measurement.
pub(crate) fn run() {
    let mut table = Table::default();
    for entries in [1_000, 10_000, 20_000, 50_000] {
        let mut board = Replica::default();
        board.apply_read(listing(entries), 1, 0);
        let have = SyncState {
            rev: entries as i64 - 1,
            edition: 1,
            ..SyncState::default()
        };
        let begun = Instant::now();
        for _ in 0..TIMES {
            black_box(board.update_since(black_box(have), 0));
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES);
        table.row(
            format!("{entries} entries: us to tell one that has changed"),
            format!("{each:.1}"),
        );
        let begun = Instant::now();
        let parts = black_box(tell(&board));
        let all = begun.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!(
                "{entries} entries: ms to tell all, in {parts} parts, with what the follower does"
            ),
            format!("{all:.1}"),
        );
        let begun = Instant::now();
        board.apply_read(listing(entries), 2, 0);
        let read = begun.elapsed().as_secs_f64() * 1e3;
        table.row(
            format!("{entries} entries: ms to take in a read that brings nothing"),
            format!("{read:.1}"),
        );
    }
    print!("{table}");
}
