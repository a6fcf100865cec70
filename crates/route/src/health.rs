//! Health of an upstream as one instance sees it.

use kernel::Millis;

/// Failures in a row after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;

/// First time out; it doubles with each ejection that follows soon.
const FIRST: Millis = 1_000;

/// Longest time out.
const LONGEST: Millis = 30_000;

/// Doublings after which the time out stays at [`LONGEST`].
const DOUBLINGS: u32 = 5;

/// Time over which an upstream that returns gets its whole share back.
const RETURN: Millis = 5_000;

/// Smallest part of its window that a returning upstream has.
const RETURN_FLOOR: f64 = 0.1;

/// Whether an upstream may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may, up to this fraction of its concurrency window.
    Open(f64),
    /// It may not for some time, because of consecutive failures.
    Ejected,
    /// It may not: it is leaving, or has left.
    Leaving,
    /// It may not until an operator or the control service releases it: it reported contradictory state.
    Quarantined,
}

/// Which source states that an upstream is leaving.
///
/// The upstream is leaving while either source says so; a source can clear only its own statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's list of instances.
    Platform,
    /// A response or load report of the upstream.
    Upstream,
}

/// Health of one upstream.
///
/// # Examples
///
/// ```
/// use route::Health;
/// use route::Availability;
///
/// let mut health = Health::default();
/// for _ in 0..3 {
///     health.record_failure(0);
/// }
/// assert_eq!(health.availability(10), Availability::Ejected);
/// assert!(matches!(health.availability(1_500), Availability::Open(part) if part < 0.2));
/// assert_eq!(health.availability(7_000), Availability::Open(1.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    row: u32,
    times: u32,
    until: Option<Millis>,
    platform_leaving: bool,
    upstream_leaving: bool,
    quarantined: bool,
}

impl Health {
    /// Returns whether the upstream may be sent new requests at `now`.
    pub fn availability(&self, now: Millis) -> Availability {
        if self.quarantined {
            return Availability::Quarantined;
        }
        if self.platform_leaving || self.upstream_leaving {
            return Availability::Leaving;
        }
        let Some(until) = self.until else {
            return Availability::Open(1.0);
        };
        if now < until {
            return Availability::Ejected;
        }
        let back = (now - until) as f64 / RETURN as f64;
        Availability::Open(back.clamp(RETURN_FLOOR, 1.0))
    }

    /// Records a failed attempt. Ejects the upstream after `MAX_FAILURES` in a row, or after one while it
    /// returns from an ejection.
    pub fn record_failure(&mut self, now: Millis) {
        self.row += 1;
        let returning = self.until.is_some_and(|until| now < until + RETURN);
        let limit = if returning { 1 } else { MAX_FAILURES };
        let out = self.until.is_some_and(|until| now < until);
        if self.row >= limit && !out {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Millis) {
        let calm = self.until.is_some_and(|until| now > until + LONGEST);
        if calm {
            self.times = 0;
        }
        let span = FIRST << self.times.min(DOUBLINGS);
        self.times += 1;
        self.row = 0;
        self.until = Some(now + span.min(LONGEST));
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        self.row = 0;
    }

    /// Records whether `source` states that the upstream is leaving.
    pub fn set_leaving(&mut self, source: LeavingSource, leaving: bool) {
        match source {
            LeavingSource::Platform => self.platform_leaving = leaving,
            LeavingSource::Upstream => self.upstream_leaving = leaving,
        }
    }

    /// Returns whether the upstream itself states that it is leaving.
    pub fn reports_leaving(&self) -> bool {
        self.upstream_leaving
    }

    /// Returns whether the upstream is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    /// Sets whether the upstream is quarantined.
    pub fn set_quarantined(&mut self, quarantined: bool) {
        self.quarantined = quarantined;
    }
}
