//! A limit on memory that several holders share.

use std::sync::Arc;
use std::sync::atomic::AtomicIsize;
use std::sync::atomic::Ordering;

/// Memory that may be reserved, shared by all that are clones of one.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    limit: usize,
    /// Number of bytes that are left; negative if more had to be reserved than there were.
    left: Arc<AtomicIsize>,
}

impl Memory {
    /// Creates a limit of so many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            limit: bytes,
            left: Arc::new(AtomicIsize::new(bytes as isize)),
        }
    }

    /// Returns the limit in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are left.
    pub(crate) fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed).max(0) as usize
    }

    /// Reserves memory if at least `floor` bytes are left after it.
    pub(crate) fn reserve(&self, bytes: usize, floor: usize) -> Option<Reservation> {
        let take = |left: isize| {
            let rest = left - bytes as isize;
            (rest >= floor as isize).then_some(rest)
        };
        self.left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .ok()?;
        Some(self.reservation(bytes))
    }

    /// Reserves memory that is taken in any case.
    pub(crate) fn reserve_anyway(&self, bytes: usize) -> Reservation {
        self.left.fetch_sub(bytes as isize, Ordering::Relaxed);
        self.reservation(bytes)
    }

    fn reservation(&self, bytes: usize) -> Reservation {
        Reservation {
            left: self.left.clone(),
            bytes,
        }
    }
}

/// Reserved memory, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    left: Arc<AtomicIsize>,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of another reservation of the same memory.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Changes the number of reserved bytes; returns false, and changes nothing, if there is no room for more.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let reserved = self.bytes;
        let take = |left: isize| {
            let rest = left + reserved as isize - bytes as isize;
            (rest >= 0 || bytes <= reserved).then_some(rest)
        };
        let resized = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok();
        if resized {
            self.bytes = bytes;
        }
        resized
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes as isize, Ordering::Relaxed);
    }
}
