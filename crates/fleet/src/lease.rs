//! The state of a lease on a piece of control work.

use std::marker::PhantomData;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

/// A fencing number: the platform's revision at which the lease was taken. A later holder always
/// has a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub i64);

/// Nobody here holds the lease.
#[derive(Debug)]
pub enum Free {}

/// This instance took the lease.
#[derive(Debug)]
pub enum Held {}

/// Part of the time to live that is never used, for what passes between the check and the moment
/// at which an order takes effect, and for clocks that run at different speeds.
const MARGIN: f64 = 0.25;

/// Part of the time to live after which the lease is renewed.
const RENEW: f64 = 0.33;

/// What the holder of a lease may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Work, with this fencing number.
    Work(FencingToken),
    /// Work, and renew now.
    Renew(FencingToken),
    /// Do nothing: the lease may have lapsed. Take it again.
    Lapsed,
}

/// A lease as its taker sees it.
///
/// Time is that of a monotonic clock that goes on while the process is paused. The lease counts
/// from when the request for it was *sent*, so that it ends here before it ends at the platform.
///
/// # Examples
///
/// ```
/// use fleet::lease::{FencingToken, Lease, HolderAction};
///
/// let held = Lease::new(10_000).acquired(FencingToken(7), 42, 0);
/// assert_eq!(held.check(1_000), HolderAction::Work(FencingToken(7)));
/// assert_eq!(held.check(4_000), HolderAction::Renew(FencingToken(7)));
/// // The holder was paused; it resumes after the lease may have lapsed.
/// assert_eq!(held.check(9_000), HolderAction::Lapsed);
/// ```
#[derive(Debug)]
pub struct Lease<S = Free> {
    ttl: Millis,
    fence: FencingToken,
    id: i64,
    since: Millis,
    state: PhantomData<S>,
}

impl Lease<Free> {
    /// Describes a lease that lives `ttl` milliseconds unless renewed.
    pub fn new(ttl: Millis) -> Self {
        Self {
            ttl,
            fence: FencingToken(0),
            id: 0,
            since: 0,
            state: PhantomData,
        }
    }

    /// Notes that the lease was taken, by a request sent at `sent`.
    pub fn acquired(self, fence: FencingToken, id: i64, sent: Millis) -> Lease<Held> {
        Lease {
            ttl: self.ttl,
            fence,
            id,
            since: sent,
            state: PhantomData,
        }
    }
}

impl Lease<Held> {
    /// Says what the holder may do now. Ask before each order, not once for many.
    pub fn check(&self, now: Millis) -> HolderAction {
        let age = now.saturating_sub(self.since) as f64;
        let ttl = self.ttl as f64;
        if age >= ttl * (1.0 - MARGIN) {
            return HolderAction::Lapsed;
        }
        if age >= ttl * RENEW {
            return HolderAction::Renew(self.fence);
        }
        HolderAction::Work(self.fence)
    }

    /// The platform's identifier of the lease.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The fencing number.
    pub fn fencing_token(&self) -> FencingToken {
        self.fence
    }

    /// Notes that a renewal sent at `sent` was granted.
    pub fn renewed(&mut self, sent: Millis) {
        self.since = self.since.max(sent);
    }

    /// Gives the lease up.
    pub fn released(self) -> Lease<Free> {
        Lease::new(self.ttl)
    }
}
