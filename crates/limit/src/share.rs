//! Splits the limits of a contract over instances.

use kernel::Millis;

/// The fraction of a contract's limits that one instance may use, from 0 to 1.
///
/// # Examples
///
/// ```
/// use limit::LimitShare;
///
/// let even = LimitShare::split(4, &[], 0.0);
/// assert_eq!(even.fraction(), 0.25);
/// let busy = LimitShare::split(2, &[10.0], 90.0);
/// assert!(busy.fraction() > 0.8 && busy.fraction() < 0.9);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct LimitShare(f64);

/// Fraction of the limit that is split evenly regardless of demand, so that an instance whose demand begins
/// can serve requests before its peers have received its report.
const EVEN_FRACTION: f64 = 0.1;

/// Fraction of the distance to the target by which a share grows per update.
const GROWTH_FACTOR: f64 = 0.3;

/// Time for reports from all instances to arrive before a share grows.
const SETTLE_TIME: Millis = 6_000;

impl LimitShare {
    /// The whole limit, for a single instance.
    pub const WHOLE: Self = Self(1.0);

    /// Splits a limit over `live` instances by demand.
    ///
    /// `mine` is this instance's demand and `others` are those that peers reported, in requests per second; a
    /// peer without a report counts as 0. The shares of instances with the same reports add up to 1. During a
    /// network partition, `live` must be the number in the platform's last list, not the number of reachable
    /// peers: the instance then keeps its old share, and the total stays below the limit rather than above.
    pub fn split(live: usize, others: &[f64], mine: f64) -> Self {
        let live = live.max(1) as f64;
        let even = 1.0 / live;
        let total: f64 = others.iter().sum::<f64>() + mine;
        if total <= 0.0 {
            return Self(even);
        }
        Self(EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * mine / total)
    }

    /// Returns the fraction, from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }

    /// Returns this share of an integer limit, rounded down but at least 1.
    pub fn scale(self, limit: u32) -> u32 {
        let scaled = (f64::from(limit) * self.0).floor();
        (scaled as u32).clamp(1, limit.max(1))
    }
}

/// The share of one instance over time: it shrinks immediately and grows only after a delay.
///
/// When demand begins on all instances at once, each has only old reports of the others and would take the
/// whole limit until new ones arrive. Waiting for them enforces the limit; the drawback is that an instance
/// with the only demand exceeds its even share only after some seconds.
///
/// # Examples
///
/// ```
/// use limit::LimitShare;
/// use limit::share::ShareTracker;
///
/// let mut tracker = ShareTracker::new(LimitShare::split(8, &[], 0.0));
/// tracker.update(LimitShare::WHOLE, 0);
/// assert_eq!(tracker.share().fraction(), 0.125);
/// tracker.update(LimitShare::WHOLE, 6_000);
/// assert!(tracker.share().fraction() > 0.3);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShareTracker {
    share: LimitShare,
    growing_since: Option<Millis>,
}

impl ShareTracker {
    /// Creates a tracker with an initial share.
    pub fn new(share: LimitShare) -> Self {
        let growing_since = None;
        Self {
            share,
            growing_since,
        }
    }

    /// Returns the current share.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Moves the share towards `target`, which follows from the newest reports.
    pub fn update(&mut self, target: LimitShare, now: Millis) {
        if target.0 <= self.share.0 {
            self.share = target;
            self.growing_since = None;
            return;
        }
        let since = *self.growing_since.get_or_insert(now);
        if now >= since + SETTLE_TIME {
            self.share = LimitShare(self.share.0 + GROWTH_FACTOR * (target.0 - self.share.0));
        }
    }
}
