//! The part of a contract's limit that one instance may use.

use kernel::Millis;

/// The part of a contract's limit that one instance may use, from 0 to 1.
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

/// Part of the limit that is split evenly whatever the demand, so that an instance whose demand
/// begins has something before its peers have heard of it.
const FLOOR: f64 = 0.1;

/// Part of the way that a share goes up with each report.
const GROW: f64 = 0.3;

/// Time that reports have to arrive from all instances before a share goes up.
const SETTLE: Millis = 6_000;

impl LimitShare {
    /// The whole limit: for an instance that is alone.
    pub const WHOLE: Self = Self(1.0);

    /// Splits a limit over `live` instances by their demand.
    ///
    /// `others` are the demands that peers reported, in requests a second; a peer that reported
    /// none counts as 0. The shares of instances that hold the same reports add up to 1. While a
    /// cut hides peers, `live` is what the platform's list said last, not what can be reached: the
    /// instance keeps to its old part and the limit errs low, never high.
    pub fn split(live: usize, others: &[f64], mine: f64) -> Self {
        let live = live.max(1) as f64;
        let even = 1.0 / live;
        let total: f64 = others.iter().sum::<f64>() + mine;
        if total <= 0.0 {
            return Self(even);
        }
        Self(FLOOR * even + (1.0 - FLOOR) * mine / total)
    }

    /// The part, from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }

    /// The part of a whole number, at least 1.
    pub fn count(self, whole: u32) -> u32 {
        let part = (f64::from(whole) * self.0).floor();
        (part as u32).clamp(1, whole.max(1))
    }
}

/// The share of one instance over time: it goes down at once, and up only after a while.
///
/// When all instances' demand begins at the same moment, each knows only old reports of the others
/// and would take the whole limit until news come. Waiting for the news keeps the limit; the price
/// is that an instance which is asked alone gets more than its even part only after some seconds.
///
/// # Examples
///
/// ```
/// use limit::LimitShare;
/// use limit::share::ShareTracker;
///
/// let mut split = ShareTracker::new(LimitShare::split(8, &[], 0.0));
/// split.update(LimitShare::WHOLE, 0);
/// assert_eq!(split.share().fraction(), 0.125);
/// split.update(LimitShare::WHOLE, 6_000);
/// assert!(split.share().fraction() > 0.3);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShareTracker {
    share: LimitShare,
    rising: Option<Millis>,
}

impl ShareTracker {
    /// Begins with a share.
    pub fn new(share: LimitShare) -> Self {
        let rising = None;
        Self { share, rising }
    }

    /// The share now.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Takes in what the newest reports say.
    pub fn update(&mut self, target: LimitShare, now: Millis) {
        if target.0 <= self.share.0 {
            self.share = target;
            self.rising = None;
            return;
        }
        let since = *self.rising.get_or_insert(now);
        if now >= since + SETTLE {
            self.share = LimitShare(self.share.0 + GROW * (target.0 - self.share.0));
        }
    }
}
