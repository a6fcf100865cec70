//! From what senders expect of samples to events.
//!
//! A sender states the length that it expects of a sample in tokens, and engines send several tokens
//! in one event. Taking the one for the other made every run look a hundred times longer than it
//! was, so that runs moved for the sake of their last events.

/// What a run that has passed its expected length is taken to have left, as a part of what it has:
/// lengths are heavy-tailed, so the longer a run has gone on the longer it will.
const OVERRUN: f64 = 0.5;

/// How many events samples had for what was expected of them.
///
/// # Examples
///
/// ```
/// use place::Scale;
///
/// let mut scale = Scale::default();
/// // Nothing has ended yet: only what a run has says what it has left.
/// assert_eq!(scale.left(900, 4), 2);
/// scale.ended(1_000, 10);
/// assert_eq!(scale.left(900, 4), 5);
/// assert_eq!(scale.left(900, 40), 20);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Scale {
    events: f64,
    expected: f64,
}

impl Scale {
    /// Notes a sample that has ended.
    pub fn ended(&mut self, expected: u32, events: u64) {
        if expected > 0 {
            self.expected += f64::from(expected);
            self.events += events as f64;
        }
    }

    /// Events that a run is expected to have left when it has `done` of them.
    pub fn left(&self, expected: u32, done: u64) -> u32 {
        let ratio = match self.expected > 0.0 {
            true => self.events / self.expected,
            false => 0.0,
        };
        let done = done as f64;
        let whole = f64::from(expected) * ratio;
        let left = match done < whole {
            true => whole - done,
            false => done * OVERRUN,
        };
        left as u32
    }
}
