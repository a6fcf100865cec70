//! The times of rounds, reads and answers, in milliseconds: instances keep to them, and so does a simulation of them.

use kernel::Millis;

use crate::Replica;

/// Time between two reads. A leaving upstream must get nothing new two seconds after the platform
/// knows, and a configuration must be in force by then; a read of this pace that fails once still
/// leaves time for the next one.
pub const READ_INTERVAL: Millis = 850;

/// Shortest pause between two reads.
pub const MIN_READ_PAUSE: Millis = 200;

/// Time after which whoever would read the platform as the first one of all looks again who has entered: those who
/// start together do so within it.
pub const STARTUP_SETTLE: Millis = 300;

/// First time between two looks at who has entered, as long as nobody tells it; each further one is twice as long.
pub const FIRST_MEMBER_POLL: Millis = 250;

/// Reads after which the entries of instances are read again.
pub const READS_PER_MEMBER_READ: u64 = 3;

/// Time that an answer to a question for news may take beyond what it may wait for: what is new has
/// to be in force within seconds, and one that is gone is noticed by this.
const NEWS: Millis = 200;

/// The same while parts of the list are missing, which come one after the other and are large.
const PART: Millis = 1_000;

/// Time that an answer to a question for news may take beyond what it may wait for, by what the asking instance has.
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
pub fn reply_slack(board: &Replica) -> Millis {
    match board.is_complete() {
        true => NEWS,
        false => PART,
    }
}
