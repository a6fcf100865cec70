//! How often an instance may read the platform for itself when nobody tells it anything.
//!
//! Load pattern: a source is slow or gone for hundreds of instances in the same moment. If each of them then reads a
//! list of thousands, the platform's link is taken for longer than anybody waits, all of them give up and begin again,
//! and nobody ever has the list. So all of them together take a bounded part of that link, worked out by
//! each from how many they are and how long the list is.

use kernel::rank;

/// Bytes that reads of all instances together may take of the platform's link in one round. A round takes about a
/// second, and the slowest link of a platform carries this in a tenth of one.
const SHARE: usize = 8 << 20;

/// Bytes of an entry of the list on the platform's link.
pub const ENTRY_BYTES: usize = 400;

/// Entries that a list is taken to have before it is known.
const UNKNOWN: usize = 1_000;

/// Instances that there are taken to be while some of them are known.
pub const MANY: usize = 1_000;

/// Rounds of which an instance may use one for a read of its own.
///
/// # Examples
///
/// ```
/// use spread::read_budget::rounds_per_read;
///
/// // A few may all read at once.
/// assert_eq!(rounds_per_read(12, 15), 1);
/// // Of a thousand two may, each round, and of two thousand one with twice as long a list.
/// assert_eq!(rounds_per_read(1_000, 10_000), 477);
/// assert_eq!(rounds_per_read(2_000, 20_000), 1_908);
/// ```
pub fn rounds_per_read(members: usize, entries: usize) -> u32 {
    let entries = match entries {
        0 => UNKNOWN,
        entries => entries,
    };
    let all = members.max(1) * entries * ENTRY_BYTES;
    u32::try_from(all.div_ceil(SHARE)).unwrap_or(u32::MAX)
}

/// Tells whether a round is one in which an instance may read. Instances that lack news since the same moment
/// have their turns in different rounds.
pub fn is_turn(me: &str, round: u32, every: u32) -> bool {
    let every = u64::from(every.max(1));
    (rank(me, "read") % every + u64::from(round)).is_multiple_of(every)
}
