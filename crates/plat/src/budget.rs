//! Bounds on the calls that one instance makes.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read.
    Read,
    /// A write.
    Write,
    /// A renewal or grant of a lease.
    Lease,
    /// The start of a watch.
    Watch,
}

impl Kind {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// Calls a second of each kind, and as many at once.
///
/// The bound is against a fault of our own, such as a loop that calls without pause: the platform
/// is shared and rate-limited, and other instances need it too.
#[derive(Debug)]
pub struct Budget {
    start: Instant,
    read: Line,
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

impl Line {
    fn new(rate: u64) -> Self {
        Self {
            due: AtomicU64::new(0),
            each: SECOND / rate.max(1),
            slack: SECOND,
            used: AtomicU64::new(0),
        }
    }

    fn take(&self, now: u64) -> bool {
        let next = |due: u64| {
            let due = due.max(now) + self.each;
            (due <= now + self.slack).then_some(due)
        };
        let taken = self
            .due
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok();
        if taken {
            self.used.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }
}

/// Reads a second of one instance.
const READS: u64 = 100;

/// Writes a second of one instance.
const WRITES: u64 = 60;

/// Lease calls a second of one instance.
const LEASES: u64 = 20;

/// Watches that one instance begins a second.
const WATCHES: u64 = 4;

impl Default for Budget {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            read: Line::new(READS),
            write: Line::new(WRITES),
            lease: Line::new(LEASES),
            watch: Line::new(WATCHES),
        }
    }
}

impl Budget {
    fn line(&self, kind: Kind) -> &Line {
        match kind {
            Kind::Read => &self.read,
            Kind::Write => &self.write,
            Kind::Lease => &self.lease,
            Kind::Watch => &self.watch,
        }
    }

    /// Takes one call out of the budget, if it holds one.
    pub fn take(&self, kind: Kind) -> bool {
        let now = self.start.elapsed().as_micros() as u64;
        self.line(kind).take(now)
    }

    /// Calls of a kind so far.
    pub fn used(&self, kind: Kind) -> u64 {
        self.line(kind).used.load(Ordering::Relaxed)
    }
}
