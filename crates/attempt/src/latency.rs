//! How long the answered attempts at a service have taken lately.

use hdrhistogram::Histogram;
use kernel::Millis;

/// Longest time that is told apart from longer ones, in milliseconds: that of the longest timeouts of routes.
const MAX_TIME: Millis = 600_000;

/// Significant decimal digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Fewest answers from which quantiles are estimated.
const MIN_ANSWERS: u64 = 20;

/// Age at which a part of the window ends if it has [`MIN_PART_ANSWERS`], in milliseconds.
const PART_TIME: Millis = 5_000;

/// Fewest answers of a part of the window.
const MIN_PART_ANSWERS: u64 = 64;

/// Most answers of a part of the window.
const MAX_PART_ANSWERS: u64 = 2_048;

/// Age at which a part of the window is forgotten whatever it has, in milliseconds.
const MAX_PART_AGE: Millis = 60_000;

/// Time between two estimates, in milliseconds: estimating walks the whole histogram.
const ESTIMATE_INTERVAL: Millis = 100;

/// Quantiles of the times of answered attempts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quantiles {
    /// Nearly no answer comes earlier.
    pub fastest: Millis,
    /// The time after which another attempt may begin.
    pub hedge: Millis,
    /// Nearly no answer comes later.
    pub slowest: Millis,
}

/// Quantile of [`Quantiles::fastest`].
const FASTEST_QUANTILE: f64 = 0.05;

/// Quantile of [`Quantiles::slowest`].
const SLOWEST_QUANTILE: f64 = 0.99;

/// The times of a service's answered attempts, in a window of two parts of which the older one is dropped when the newer one
/// is full.
#[derive(Clone, Debug)]
pub struct Latency {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the current part began.
    begun_at: Millis,
    /// The last estimate and its time.
    estimate: Option<(Millis, Option<Quantiles>)>,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            begun_at: 0,
            estimate: None,
        }
    }
}

fn histogram() -> Histogram<u32> {
    let created = Histogram::new_with_bounds(1, MAX_TIME, SIGNIFICANT_DIGITS);
    // The constructor fails only for more than five digits or reversed bounds.
    created.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

impl Latency {
    /// Records an answered attempt.
    pub fn record(&mut self, took: Millis, now: Millis) {
        if self.current.is_empty() {
            self.begun_at = now;
        }
        self.current.saturating_record(took.max(1));
        let age = now.saturating_sub(self.begun_at);
        let answers = self.current.len();
        if answers >= MAX_PART_ANSWERS || age >= PART_TIME && answers >= MIN_PART_ANSWERS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Estimates the quantiles; [`None`] while too little is known. `hedge` is the quantile of [`Quantiles::hedge`], and
    /// the same in all calls.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut latency = attempt::Latency::default();
    /// assert_eq!(latency.quantiles(0.97, 0), None);
    /// for took in 1..=100 {
    ///     latency.record(took, 0);
    /// }
    /// let quantiles = latency.quantiles(0.97, 200).unwrap();
    /// assert_eq!((quantiles.fastest, quantiles.hedge, quantiles.slowest), (5, 97, 99));
    /// ```
    pub fn quantiles(&mut self, hedge: f64, now: Millis) -> Option<Quantiles> {
        if let Some((at, estimate)) = self.estimate
            && now.saturating_sub(at) < ESTIMATE_INTERVAL
        {
            return estimate;
        }
        let estimate = self.estimate(hedge, now);
        self.estimate = Some((now, estimate));
        estimate
    }

    fn estimate(&mut self, hedge: f64, now: Millis) -> Option<Quantiles> {
        if now.saturating_sub(self.begun_at) > MAX_PART_AGE {
            self.current.reset();
            self.previous.reset();
        }
        let mut all = self.current.clone();
        // Cannot fail: both have the same bounds.
        let _ = all.add(&self.previous);
        if all.len() < MIN_ANSWERS {
            return None;
        }
        Some(Quantiles {
            fastest: all.value_at_quantile(FASTEST_QUANTILE),
            hedge: all.value_at_quantile(hedge),
            slowest: all.value_at_quantile(SLOWEST_QUANTILE),
        })
    }
}
