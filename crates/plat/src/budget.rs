//! Rate limits on the calls that one instance makes to the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The kind of a call; each has a rate limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of the newest state.
    Read,
    /// A read whose result may be seconds old; it costs the platform a tenth of a [`CallKind::Read`].
    Stale,
    /// A write.
    Write,
    /// A grant, renewal or revocation of a lease.
    Lease,
    /// The start of a watch, or a poll.
    Watch,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Read,
        Self::Stale,
        Self::Write,
        Self::Lease,
        Self::Watch,
    ];

    /// The label of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Stale => "stale",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// A rate limit with a burst allowance for each kind of call.
///
/// The platform is shared and rate-limited, and other instances need it too. A call above the rate is delayed, so
/// that the values that accumulate meanwhile go into the next write. A call that would be delayed too long fails,
/// which bounds the load from a bug such as a loop without a pause.
#[derive(Debug)]
pub struct Budget {
    start: Instant,
    read: RateLimit,
    stale: RateLimit,
    write: RateLimit,
    lease: RateLimit,
    watch: RateLimit,
}

/// The rate limit of one kind: a generic cell rate algorithm that stores the time at which the next call is due.
#[derive(Debug)]
struct RateLimit {
    due_us: AtomicU64,
    interval_us: u64,
    burst_us: u64,
    used: AtomicU64,
}

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Maximum number of calls of one kind in a burst.
const BURST_CALLS: u64 = 16;

/// Longest delay of a call, in microseconds; a call that would wait longer fails.
const MAX_WAIT_US: u64 = SECOND_US / 2;

impl RateLimit {
    fn new(rate: u64) -> Self {
        let interval_us = SECOND_US / rate.max(1);
        Self {
            due_us: AtomicU64::new(0),
            interval_us,
            burst_us: interval_us * BURST_CALLS,
            used: AtomicU64::new(0),
        }
    }

    /// Reserves the next slot; returns the delay until it, or [`None`] if that exceeds [`MAX_WAIT_US`].
    fn reserve(&self, now: u64) -> Option<u64> {
        let next = |due: u64| {
            let due = due.max(now) + self.interval_us;
            (due <= now + self.burst_us + MAX_WAIT_US).then_some(due)
        };
        let previous = self
            .due_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .ok()?;
        self.used.fetch_add(1, Ordering::Relaxed);
        let due = previous.max(now) + self.interval_us;
        Some(due.saturating_sub(now + self.burst_us))
    }
}

/// Maximum rate of reads of one instance; it applies to current and to stale reads separately.
const READS_PER_SECOND: u64 = 200;

/// Maximum rate of writes of one instance.
const WRITES_PER_SECOND: u64 = 40;

/// Maximum rate of lease calls of one instance.
const LEASE_CALLS_PER_SECOND: u64 = 20;

/// Maximum rate at which one instance starts watches.
const WATCHES_PER_SECOND: u64 = 4;

impl Default for Budget {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            read: RateLimit::new(READS_PER_SECOND),
            stale: RateLimit::new(READS_PER_SECOND),
            write: RateLimit::new(WRITES_PER_SECOND),
            lease: RateLimit::new(LEASE_CALLS_PER_SECOND),
            watch: RateLimit::new(WATCHES_PER_SECOND),
        }
    }
}

impl Budget {
    fn rate_limit(&self, kind: CallKind) -> &RateLimit {
        match kind {
            CallKind::Read => &self.read,
            CallKind::Stale => &self.stale,
            CallKind::Write => &self.write,
            CallKind::Lease => &self.lease,
            CallKind::Watch => &self.watch,
        }
    }

    /// Reserves the next slot for a call; returns the delay until it, or [`None`] if that would be too long.
    pub fn reserve(&self, kind: CallKind) -> Option<Duration> {
        let now = self.start.elapsed().as_micros() as u64;
        self.rate_limit(kind)
            .reserve(now)
            .map(Duration::from_micros)
    }

    /// The number of calls of a kind that were admitted so far.
    pub fn used(&self, kind: CallKind) -> u64 {
        self.rate_limit(kind).used.load(Ordering::Relaxed)
    }
}
