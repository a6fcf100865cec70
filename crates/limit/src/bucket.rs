//! Token bucket rate limiting.

use kernel::Millis;

/// Maximum wait that a bucket returns; longer forecasts are unreliable.
const MAX_WAIT: Millis = kernel::time::MINUTE;

/// A token bucket with fractional units.
///
/// # Examples
///
/// ```
/// use limit::TokenBucket;
///
/// let mut bucket = TokenBucket::new(10.0, 1.0, 0);
/// assert_eq!(bucket.take(0, 1.0), Ok(()));
/// assert_eq!(bucket.take(0, 1.0), Err(100));
/// assert_eq!(bucket.take(100, 1.0), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that holds `burst` units and gains `rate` units per second.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// Changes rate and burst but not the level, so that changing a contract grants no free burst.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Millis) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn fill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes `amount` units.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until enough units are available.
    pub fn take(&mut self, now: Millis, amount: f64) -> Result<(), Millis> {
        self.fill(now);
        if self.level >= amount {
            self.level -= amount;
            return Ok(());
        }
        Err(self.wait(amount))
    }

    /// Takes units that have already been used; the level may fall below 0.
    pub fn charge(&mut self, now: Millis, amount: f64) {
        self.fill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn wait(&self, amount: f64) -> Millis {
        if self.rate <= 0.0 {
            return MAX_WAIT;
        }
        let wait = (amount - self.level) / self.rate * 1_000.0;
        (wait.ceil() as Millis).clamp(1, MAX_WAIT)
    }
}
