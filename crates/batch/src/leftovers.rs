//! Samples that ended steps have left over, which may come again.
//!
//! Load pattern: a trainer ends its step once nine of ten groups are whole. The others come again in one
//! of its next steps, and that one is not whole without them. They are the groups with the longest
//! samples of their step; each had a good part of its text, so how long it is is known better than from
//! what its sender expects.

use kernel::Map;
use kernel::Millis;

/// Time for which a sample that was left over is remembered, in milliseconds: it comes again in one of
/// its trainer's next steps or not at all.
const KEEP: Millis = 30_000;

/// What a sample that was not whole is taken to have, as a part of what it had: lengths are
/// heavy-tailed, so the longer it has become the longer it will.
const LONGER: f64 = 1.5;

/// Samples that ended steps have left over, by their prints.
///
/// # Examples
///
/// ```
/// use batch::Leftovers;
///
/// let mut again = Leftovers::default();
/// again.note(7, 100, true, 0);
/// again.note(8, 100, false, 0);
/// assert_eq!(again.take(7, 1_000), Some(100));
/// assert_eq!(again.take(8, 1_000), Some(150));
/// assert_eq!(again.take(8, 1_000), None);
/// ```
#[derive(Debug, Default)]
pub struct Leftovers {
    left: Map<u64, Left>,
}

#[derive(Clone, Copy, Debug)]
struct Left {
    events: u64,
    at: Millis,
}

impl Leftovers {
    /// Notes that a sample was left over with so many events, all of them when it was whole.
    pub fn record(&mut self, print: u64, events: u64, whole: bool, now: Millis) {
        self.left.retain(|_, left| now < left.at + KEEP);
        let events = match whole {
            true => events,
            false => (events as f64 * LONGER) as u64,
        };
        self.left.insert(print, Left { events, at: now });
    }

    /// The events that a sample is expected to have, if it was left over; it is forgotten then.
    pub fn take(&mut self, print: u64, now: Millis) -> Option<u64> {
        let left = self.left.remove(&print)?;
        (now < left.at + KEEP).then_some(left.events)
    }
}
