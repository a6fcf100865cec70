//! Intervals and timeouts of rounds, reads and replies, in milliseconds, shared by the instances and the simulation.

use kernel::Millis;

use crate::Replica;

/// Interval between reads of the platform. Within two seconds of the platform knowing, a leaving upstream must get no
/// new requests and a new configuration must be in force. At this interval one failed read still leaves time for the
/// next.
pub const READ_INTERVAL: Millis = 850;

/// Shortest pause between two reads.
pub const MIN_READ_PAUSE: Millis = 200;

/// Wait before an instance that would be the first to read the platform looks up the members again: instances that
/// start together enter within this time.
pub const STARTUP_SETTLE: Millis = 300;

/// First interval between lookups of the members while no update brings them; it doubles with each lookup.
pub const FIRST_MEMBER_POLL: Millis = 250;

/// Reads of the list after which the member entries are read again.
pub const READS_PER_MEMBER_READ: u64 = 3;

/// Time that a reply may take beyond the wait that the poll allows. Changes have to be in force within seconds, and
/// this bounds how long a dead source goes unnoticed.
pub const CHANGE_REPLY_SLACK: Millis = 200;

/// The same while parts of the list are missing: they are sent one after the other and are large.
const PART_REPLY_SLACK: Millis = 1_000;

/// Returns how long a reply may take beyond the wait that the poll allows, depending on what the polling instance has.
///
/// # Examples
///
/// ```
/// use spread::Replica;
/// use spread::timing::reply_slack;
///
/// // An instance that has just started lacks all parts of the list.
/// assert_eq!(reply_slack(&Replica::default()), 1_000);
/// ```
pub fn reply_slack(replica: &Replica) -> Millis {
    match replica.is_complete() {
        true => CHANGE_REPLY_SLACK,
        false => PART_REPLY_SLACK,
    }
}
