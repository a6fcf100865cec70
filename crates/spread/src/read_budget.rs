//! How often an instance may read the platform itself when it gets no updates.
//!
//! Load pattern: one source becomes slow or fails, and hundreds of instances lose it at the same moment. If each of
//! them then reads a list of thousands of entries, the platform's link is saturated for longer than their timeouts.
//! All of them time out and retry, and none ever gets the list. The reads of all instances together are therefore
//! limited to a share of the link. Each instance computes the limit from the number of instances and the length of the
//! list.

use kernel::rendezvous_rank;

/// Bytes per round that the reads of all instances together may take of the platform's link. A round takes about a
/// second, and the slowest platform link carries this in a tenth of a second.
const MAX_READ_BYTES_PER_ROUND: usize = 8 << 20;

/// Bytes that an entry of the list takes on the platform's link.
pub const ENTRY_BYTES: usize = 400;

/// Assumed length of the list, in entries, before it is known.
const ASSUMED_ENTRIES: usize = 1_000;

/// Minimum assumed number of instances while only some of them are known.
pub const ASSUMED_MEMBERS: usize = 1_000;

/// Returns the number of rounds in which an instance may read the platform once.
///
/// # Examples
///
/// ```
/// use spread::read_budget::rounds_per_read;
///
/// // A few instances may all read in the same round.
/// assert_eq!(rounds_per_read(12, 15), 1);
/// // Two of a thousand instances may read per round, and one of two thousand with a list twice as long.
/// assert_eq!(rounds_per_read(1_000, 10_000), 477);
/// assert_eq!(rounds_per_read(2_000, 20_000), 1_908);
/// ```
pub fn rounds_per_read(members: usize, entries: usize) -> u32 {
    let entries = match entries {
        0 => ASSUMED_ENTRIES,
        entries => entries,
    };
    let read_bytes = members.max(1) * entries * ENTRY_BYTES;
    u32::try_from(read_bytes.div_ceil(MAX_READ_BYTES_PER_ROUND)).unwrap_or(u32::MAX)
}

/// Returns whether an instance may read in this round. Instances that lost their updates at the same moment get
/// different rounds.
pub fn is_turn(instance: &str, round: u32, rounds: u32) -> bool {
    let rounds = u64::from(rounds.max(1));
    (rendezvous_rank(instance, "read") % rounds + u64::from(round)).is_multiple_of(rounds)
}
