//! How long the entry of an instance lives at the platform, and when it is renewed.
//!
//! Load pattern: hundreds of instances renew their entries, all day. Renewed at one pace they make more calls the more
//! instances there are. Seven of eight are leaves of the tree along which news goes, and nobody waits for a leaf: their
//! entries are renewed a bounded number of times a second together.

use kernel::Millis;

/// Time to live of the entry of an instance that others depend on, in milliseconds: a dead instance's steps are
/// taken up soon after, and two renewals may be lost before that.
pub const ACTIVE_TTL: Millis = 3_000;

/// Time to live of the entry of an instance that some others follow, in milliseconds, and shortest one of an instance
/// that nobody follows. Others notice by themselves that one is gone.
pub const IDLE_TTL: Millis = 12_000;

/// Renewals of the entries of all instances that nobody follows, a second.
const RENEWALS: u64 = 64;

/// Fifths of its time to live after which an entry is renewed: two renewals fit into it.
const FIFTHS: u64 = 2;

/// Time to live of the entry of an instance that nobody follows, among so many, in milliseconds.
///
/// # Examples
///
/// ```
/// use spread::lease::leaf_ttl;
///
/// assert_eq!(leaf_ttl(65), 12_000);
/// // Of a thousand each renews as seldom as 64 renewals a second allow.
/// assert_eq!(leaf_ttl(1_000), 39_062);
/// assert_eq!(leaf_ttl(2_000), 78_125);
/// ```
pub fn leaf_ttl(members: usize) -> Millis {
    let pause = members as u64 * 1_000 / RENEWALS;
    IDLE_TTL.max(pause * 5 / FIFTHS)
}

/// Time between two renewals of an entry with a time to live, in milliseconds.
///
/// # Examples
///
/// ```
/// use spread::lease::{ACTIVE_TTL, renew_interval};
///
/// assert_eq!(renew_interval(ACTIVE_TTL), 1_200);
/// ```
pub fn renew_interval(ttl: Millis) -> Millis {
    ttl * FIFTHS / 5
}

/// What an instance does about its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing yet.
    Keep,
    /// It renews it.
    Renew,
    /// It writes it anew, with another time to live.
    Rewrite,
}

/// What an instance does about an entry that lives for `ttl` and was renewed `since` ago, when one that is written
/// now would live for `wanted`; all in milliseconds.
///
/// An entry that lives short stays so: an instance that has run a step is soon to run another. Small changes of how many
/// instances there are cost no call.
///
/// # Examples
///
/// ```
/// use spread::lease::{IDLE_TTL, LeaseAction, ACTIVE_TTL, next_action};
///
/// assert_eq!(next_action(IDLE_TTL, IDLE_TTL, 1_000), LeaseAction::Keep);
/// assert_eq!(next_action(IDLE_TTL, IDLE_TTL, 4_800), LeaseAction::Renew);
/// // Others depend on it from now on.
/// assert_eq!(next_action(IDLE_TTL, ACTIVE_TTL, 1_000), LeaseAction::Rewrite);
/// // It has heard how many others there are.
/// assert_eq!(next_action(IDLE_TTL, 40_000, 4_800), LeaseAction::Rewrite);
/// ```
pub fn next_action(ttl: Millis, wanted: Millis, since: Millis) -> LeaseAction {
    if wanted <= ttl / 2 {
        return LeaseAction::Rewrite;
    }
    if since < renew_interval(ttl) {
        return LeaseAction::Keep;
    }
    match ttl >= IDLE_TTL && wanted >= 2 * ttl {
        true => LeaseAction::Rewrite,
        false => LeaseAction::Renew,
    }
}
