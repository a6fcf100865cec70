//! Unfinished samples of ended steps, which may be submitted again.
//!
//! Load pattern: a trainer ends its step once nine of ten groups are complete. The other groups are
//! submitted again in one of its next steps, which cannot complete without them. They are the
//! groups with the longest samples of their step. Each already had a good part of its text, which
//! predicts its length better than the sender's estimate.

use kernel::Map;
use kernel::Millis;

/// How long a leftover sample is kept: it is submitted again in one of its trainer's next steps or
/// not at all.
const RETENTION: Millis = 30_000;

/// Predicted length of an incomplete sample relative to what it had: lengths are heavy-tailed, so
/// the longer a sample has become, the longer it is expected to get.
const LENGTH_FACTOR: f64 = 1.5;

/// Unfinished samples of ended steps, by their fingerprints.
///
/// # Examples
///
/// ```
/// use batch::Leftovers;
///
/// let mut leftovers = Leftovers::default();
/// leftovers.record(7, 100, true, 0);
/// leftovers.record(8, 100, false, 0);
/// assert_eq!(leftovers.take(7, 1_000), Some(100));
/// assert_eq!(leftovers.take(8, 1_000), Some(150));
/// assert_eq!(leftovers.take(8, 1_000), None);
/// ```
#[derive(Debug, Default)]
pub struct Leftovers {
    samples: Map<u64, Leftover>,
}

#[derive(Clone, Copy, Debug)]
struct Leftover {
    expected_events: u64,
    recorded_at: Millis,
}

impl Leftovers {
    /// Records a leftover sample that has `events` events, all of them if it is complete.
    pub fn record(&mut self, fingerprint: u64, events: u64, complete: bool, now: Millis) {
        self.samples
            .retain(|_, leftover| now < leftover.recorded_at + RETENTION);
        let expected_events = match complete {
            true => events,
            false => (events as f64 * LENGTH_FACTOR) as u64,
        };
        self.samples.insert(
            fingerprint,
            Leftover {
                expected_events,
                recorded_at: now,
            },
        );
    }

    /// Removes a leftover sample and returns how many events it is expected to have.
    pub fn take(&mut self, fingerprint: u64, now: Millis) -> Option<u64> {
        let leftover = self.samples.remove(&fingerprint)?;
        (now < leftover.recorded_at + RETENTION).then_some(leftover.expected_events)
    }
}
