//! Health of an upstream as observed by one instance.

use kernel::Millis;

/// Consecutive failures after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;

/// Duration of the first ejection in milliseconds. It doubles with each further ejection that comes
/// within [`MAX_EJECTION_MS`] after the end of the last.
const FIRST_EJECTION_MS: Millis = 1_000;

const MAX_EJECTION_MS: Millis = 30_000;

/// Doublings after which an ejection lasts [`MAX_EJECTION_MS`].
const MAX_DOUBLINGS: u32 = 5;

/// Time in milliseconds over which an upstream regains its whole window after an ejection.
const RECOVERY_MS: Millis = 5_000;

/// Smallest fraction of its window that a recovering upstream has.
const MIN_RECOVERY_FRACTION: f64 = 0.1;

/// Whether an upstream may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may, up to this fraction of its concurrency window.
    Open(f64),
    /// It may not for some time, because of consecutive failures.
    Ejected,
    /// It may not: it is leaving, or has left.
    Leaving,
    /// It may not until a load report, read by this instance or passed on by a peer, states a single
    /// weight version: it stated none or several, or contradicted itself in a response.
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

/// Health of one upstream: ejection after failures, leaving and quarantine.
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
/// assert!(matches!(health.availability(1_500), Availability::Open(fraction) if fraction < 0.2));
/// assert_eq!(health.availability(7_000), Availability::Open(1.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
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
        let Some(until) = self.ejected_until else {
            return Availability::Open(1.0);
        };
        if now < until {
            return Availability::Ejected;
        }
        let recovered = (now - until) as f64 / RECOVERY_MS as f64;
        Availability::Open(recovered.clamp(MIN_RECOVERY_FRACTION, 1.0))
    }

    /// Records a failed attempt. Ejects the upstream after `MAX_FAILURES` in a row, or after a single
    /// one while it recovers from an ejection.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        let recovering = self
            .ejected_until
            .is_some_and(|until| now < until + RECOVERY_MS);
        let limit = if recovering { 1 } else { MAX_FAILURES };
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.failures >= limit && !ejected {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Millis) {
        let stable = self
            .ejected_until
            .is_some_and(|until| now > until + MAX_EJECTION_MS);
        if stable {
            self.ejections = 0;
        }
        let duration = FIRST_EJECTION_MS << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION_MS));
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        self.failures = 0;
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
