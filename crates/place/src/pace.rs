//! The pace that engines report: how long work takes there now, in percent of the usual time.
//!
//! Load pattern: a third of the engines become slower, and an instance that has run nothing there yet has no
//! measurements of its own. The figure changes many times a second, so single values are smoothed, and own
//! measurements take precedence.

use kernel::Millis;

/// Pace of an engine that works at its usual speed, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// Weight of the newest report in the moving average, which spans about five reports.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Time without a report after which an engine's pace is unknown, in milliseconds. Engines change their speed within
/// seconds.
const MAX_PACE_AGE: Millis = 5_000;

/// Minimum time between two log lines about ignored paces, in milliseconds: an engine that reports a wrong figure does
/// so with each answer.
const LOG_INTERVAL: Millis = 10_000;

/// Smallest and largest pace that is used, in percent.
const VALID_PERCENTS: std::ops::RangeInclusive<u32> = 10..=10_000;

/// Result of [`EngineTracker::pace_reported`](crate::EngineTracker::pace_reported).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceOutcome {
    /// The pace is used until the engine's speed has been measured.
    Recorded,
    /// The pace is out of range and was ignored.
    Ignored,
    /// The pace is out of range and was ignored; a log line about it is due.
    IgnoredAndLog,
}

/// Returns whether a pace is in the valid range.
pub(crate) fn is_valid(percent: u32) -> bool {
    VALID_PERCENTS.contains(&percent)
}

/// Limits log lines about ignored paces.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IgnoredPaces {
    logged_at: Option<Millis>,
}

impl IgnoredPaces {
    /// Records an ignored pace.
    pub(crate) fn record(&mut self, now: Millis) -> PaceOutcome {
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return PaceOutcome::Ignored;
        }
        self.logged_at = Some(now);
        PaceOutcome::IgnoredAndLog
    }
}

/// Smoothed pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    percent: f64,
    reported_at: Option<Millis>,
}

impl Pace {
    /// Records a valid report.
    pub(crate) fn record(&mut self, percent: u32, now: Millis) {
        let percent = f64::from(percent);
        self.percent = match self.is_known(now) {
            true => self.percent + SMOOTHING_FACTOR * (percent - self.percent),
            false => percent,
        };
        self.reported_at = Some(now);
    }

    fn is_known(&self, now: Millis) -> bool {
        self.reported_at.is_some_and(|at| now < at + MAX_PACE_AGE)
    }

    /// Returns the ratio of the current time of work to the usual one; 1 if unknown.
    pub(crate) fn factor(&self, now: Millis) -> f64 {
        match self.is_known(now) {
            true => self.percent / USUAL_PERCENT,
            false => 1.0,
        }
    }
}
