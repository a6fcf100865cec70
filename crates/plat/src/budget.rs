//! Bounds on the calls that one instance makes.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of the newest state.
    Read,
    /// A read that may be seconds old, which costs the platform a tenth.
    Stale,
    /// A write.
    Write,
    /// A renewal or grant of a lease.
    Lease,
    /// The start of a watch.
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

    /// The name in metrics.
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

/// Calls a second of each kind, and a few more at once.
///
/// The platform is shared and rate-limited, and other instances need it too. A call beyond the
/// rate waits for its turn, so that what would be written meanwhile goes with the next write; one
/// that would wait too long fails, which bounds a fault of our own such as a loop without pause.
#[derive(Debug)]
pub struct Budget {
    start: Instant,
    read: Line,
    stale: Line,
    write: Line,
    lease: Line,
    watch: Line,
}

/// One rate, as the time at which the next call is due (generic cell rate algorithm).
#[derive(Debug)]
struct Line {
    due: AtomicU64,
    each: u64,
    slack: u64,
    used: AtomicU64,
}

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Calls that may come at once.
const BURST: u64 = 16;

/// Longest time that a call waits for its turn.
const PATIENCE: u64 = SECOND / 2;

impl Line {
    fn new(rate: u64) -> Self {
        let each = SECOND / rate.max(1);
        Self {
            due: AtomicU64::new(0),
            each,
            slack: each * BURST,
            used: AtomicU64::new(0),
        }
    }

    /// Takes the next turn; gives the wait until it comes, unless that is too long.
    fn reserve(&self, now: u64) -> Option<u64> {
        let next = |due: u64| {
            let due = due.max(now) + self.each;
            (due <= now + self.slack + PATIENCE).then_some(due)
        };
        let taken = self
            .due
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .ok()?;
        self.used.fetch_add(1, Ordering::Relaxed);
        let due = taken.max(now) + self.each;
        Some(due.saturating_sub(now + self.slack))
    }
}

/// Reads a second of one instance.
const READS: u64 = 200;

/// Writes a second of one instance.
const WRITES: u64 = 40;

/// Lease calls a second of one instance.
const LEASES: u64 = 20;

/// Watches that one instance begins a second.
const WATCHES: u64 = 4;

impl Default for Budget {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            read: Line::new(READS),
            stale: Line::new(READS),
            write: Line::new(WRITES),
            lease: Line::new(LEASES),
            watch: Line::new(WATCHES),
        }
    }
}

impl Budget {
    fn line(&self, kind: CallKind) -> &Line {
        match kind {
            CallKind::Read => &self.read,
            CallKind::Stale => &self.stale,
            CallKind::Write => &self.write,
            CallKind::Lease => &self.lease,
            CallKind::Watch => &self.watch,
        }
    }

    /// Takes the next turn for a call; gives the wait until it comes, or [`None`] when that would
    /// be too long.
    pub fn reserve(&self, kind: CallKind) -> Option<Duration> {
        let now = self.start.elapsed().as_micros() as u64;
        self.line(kind).reserve(now).map(Duration::from_micros)
    }

    /// Calls of a kind so far.
    pub fn used(&self, kind: CallKind) -> u64 {
        self.line(kind).used.load(Ordering::Relaxed)
    }
}
