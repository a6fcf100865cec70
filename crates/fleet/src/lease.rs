//! Leases on pieces of control work.

use std::marker::PhantomData;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

/// A fencing token: the platform's revision at which the lease was acquired. A later holder always has a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub i64);

/// State of a lease that this instance does not hold.
#[derive(Debug)]
pub enum Free {}

/// State of a lease that this instance has acquired.
#[derive(Debug)]
pub enum Held {}

/// Fraction of the time to live, at its end, in which the lease is not used. It covers the time between the check and
/// the effect of an order, and clocks that run at different rates.
const UNUSED_TTL_FRACTION: f64 = 0.25;

/// Fraction of the time to live after which the lease is renewed.
const RENEW_AT_TTL_FRACTION: f64 = 0.33;

/// What the holder of a lease may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Work, with this fencing token.
    Work(FencingToken),
    /// Work, with this fencing token, and renew the lease now.
    Renew(FencingToken),
    /// Stop working: the lease may have expired and has to be acquired again.
    Expired,
}

/// A lease as its holder sees it.
///
/// Times are those of a monotonic clock that continues while the process is paused. The time to live counts from when
/// the request was *sent*, so the lease ends at the holder before it ends at the platform.
///
/// # Examples
///
/// ```
/// use fleet::lease::{FencingToken, Lease, HolderAction};
///
/// let held = Lease::new(10_000).acquired(FencingToken(7), 42, 0);
/// assert_eq!(held.check(1_000), HolderAction::Work(FencingToken(7)));
/// assert_eq!(held.check(4_000), HolderAction::Renew(FencingToken(7)));
/// // The holder was paused and resumes after the lease may have expired.
/// assert_eq!(held.check(9_000), HolderAction::Expired);
/// ```
#[derive(Debug)]
pub struct Lease<S = Free> {
    ttl: Millis,
    fencing_token: FencingToken,
    id: i64,
    since: Millis,
    state: PhantomData<S>,
}

impl Lease<Free> {
    /// Makes a lease that lives `ttl` milliseconds unless renewed.
    pub fn new(ttl: Millis) -> Self {
        Self {
            ttl,
            fencing_token: FencingToken(0),
            id: 0,
            since: 0,
            state: PhantomData,
        }
    }

    /// Records that the lease was acquired by a request sent at `sent`.
    pub fn acquired(self, fencing_token: FencingToken, id: i64, sent: Millis) -> Lease<Held> {
        Lease {
            ttl: self.ttl,
            fencing_token,
            id,
            since: sent,
            state: PhantomData,
        }
    }
}

impl Lease<Held> {
    /// The time before which an order that may be given now must be sent.
    pub fn order_deadline(&self) -> Millis {
        self.since + (self.ttl as f64 * (1.0 - UNUSED_TTL_FRACTION)) as Millis
    }

    /// Returns what the holder may do now. Call it before each order, and not once for several.
    pub fn check(&self, now: Millis) -> HolderAction {
        if now >= self.order_deadline() {
            return HolderAction::Expired;
        }
        let age = now.saturating_sub(self.since) as f64;
        if age >= self.ttl as f64 * RENEW_AT_TTL_FRACTION {
            return HolderAction::Renew(self.fencing_token);
        }
        HolderAction::Work(self.fencing_token)
    }

    /// The platform's identifier of the lease.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// The fencing token.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Records that a renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: Millis) {
        self.since = self.since.max(sent);
    }

    /// Gives up the lease.
    pub fn released(self) -> Lease<Free> {
        Lease::new(self.ttl)
    }
}
