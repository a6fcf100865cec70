//! Token buckets.

use kernel::Millis;

/// Longest wait that a bucket names; beyond it the caller should not count on anything.
const MAX_WAIT: Millis = kernel::time::MINUTE;

/// A token bucket.
///
/// # Examples
///
/// ```
/// use limit::Bucket;
///
/// let mut bucket = Bucket::new(10.0, 1.0, 0);
/// assert_eq!(bucket.take(0, 1.0), Ok(()));
/// assert_eq!(bucket.take(0, 1.0), Err(100));
/// assert_eq!(bucket.take(100, 1.0), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Millis,
}

impl Bucket {
    /// Makes a full bucket of `burst` units that gains `rate` units a second.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }

    /// Changes rate and burst and keeps the level, so that an amended contract gives no free burst.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Millis) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: Millis) {
        let span = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.level = (self.level + span * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Takes `amount` units.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds until the units are there.
    pub fn take(&mut self, now: Millis, amount: f64) -> Result<(), Millis> {
        self.fill(now);
        if self.level >= amount {
            self.level -= amount;
            return Ok(());
        }
        Err(self.wait(amount))
    }

    /// Takes units that have been used already; the level may fall below 0.
    pub fn charge(&mut self, now: Millis, amount: f64) {
        self.fill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn wait(&self, amount: f64) -> Millis {
        if self.rate <= 0.0 {
            return MAX_WAIT;
        }
        let span = (amount - self.level) / self.rate * 1_000.0;
        (span.ceil() as Millis).clamp(1, MAX_WAIT)
    }
}
