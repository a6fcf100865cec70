//! Converts the expected length of samples from tokens to events.
//!
//! Clients state the expected length of a sample in tokens, while engines send several tokens per event.
//! When the two were confused, every run looked a hundred times longer than it was, and runs moved to
//! other engines for their last few events.

/// Remaining length of a run that has exceeded its expected length, as a fraction of its length so far:
/// lengths are heavy-tailed, so the longer a run has lasted, the longer it will continue.
const OVERRUN_FACTOR: f64 = 0.5;

/// Ratio of the actual number of events to the expected length, over all finished samples.
///
/// # Examples
///
/// ```
/// use place::LengthScale;
///
/// let mut scale = LengthScale::default();
/// // No sample has finished, so the estimate depends on the events so far alone.
/// assert_eq!(scale.remaining_events(900, 4), 2);
/// scale.record(1_000, 10);
/// assert_eq!(scale.remaining_events(900, 4), 5);
/// assert_eq!(scale.remaining_events(900, 40), 20);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LengthScale {
    events: f64,
    expected: f64,
}

impl LengthScale {
    /// Records a finished sample.
    pub fn record(&mut self, expected: u32, events: u64) {
        if expected > 0 {
            self.expected += f64::from(expected);
            self.events += events as f64;
        }
    }

    /// Estimates how many more events a run sends that has sent `done` events.
    pub fn remaining_events(&self, expected: u32, done: u64) -> u32 {
        let ratio = match self.expected > 0.0 {
            true => self.events / self.expected,
            false => 0.0,
        };
        let done = done as f64;
        let total = f64::from(expected) * ratio;
        let remaining = match done < total {
            true => total - done,
            false => done * OVERRUN_FACTOR,
        };
        remaining as u32
    }
}
