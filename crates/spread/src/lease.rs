//! Time to live of an instance's member entry at the platform, and when the entry is renewed.
//!
//! Load pattern: hundreds of instances renew their entries all the time. With one fixed interval the number of calls
//! grows with the number of instances. Seven of eight instances are leaves of the distribution tree, and nothing waits
//! for a leaf, so the renewals of all leaves together are limited to a fixed rate.

use kernel::Millis;

/// Time to live of the entry of an instance that others depend on, in milliseconds. It is short so that a dead
/// instance's steps are taken over soon, yet two renewals may be lost before the entry expires.
pub const ACTIVE_TTL: Millis = 3_000;

/// Time to live of the entry of an instance that has followers, and the minimum for one that has none, in
/// milliseconds. Followers detect a dead source themselves.
pub const IDLE_TTL: Millis = 12_000;

/// Renewals per second of the entries of all leaves together.
const LEAF_RENEWALS_PER_SECOND: u64 = 64;

/// Fifths of the time to live after which an entry is renewed, so that two renewals fit into it.
const RENEW_AFTER_FIFTHS: u64 = 2;

/// Time to live of a leaf's entry, in milliseconds, when there are `members` instances.
///
/// # Examples
///
/// ```
/// use spread::lease::leaf_ttl;
///
/// assert_eq!(leaf_ttl(65), 12_000);
/// // With a thousand instances, each renews as rarely as 64 renewals per second require.
/// assert_eq!(leaf_ttl(1_000), 39_062);
/// assert_eq!(leaf_ttl(2_000), 78_125);
/// ```
pub fn leaf_ttl(members: usize) -> Millis {
    let interval = members as u64 * 1_000 / LEAF_RENEWALS_PER_SECOND;
    IDLE_TTL.max(interval * 5 / RENEW_AFTER_FIFTHS)
}

/// Interval between renewals of an entry with this time to live, in milliseconds.
///
/// # Examples
///
/// ```
/// use spread::lease::{ACTIVE_TTL, renew_interval};
///
/// assert_eq!(renew_interval(ACTIVE_TTL), 1_200);
/// ```
pub fn renew_interval(ttl: Millis) -> Millis {
    ttl * RENEW_AFTER_FIFTHS / 5
}

/// What an instance does about its member entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing is due.
    Keep,
    /// Renew the entry's lease.
    Renew,
    /// Write the entry again with a new time to live.
    Rewrite,
}

/// Returns what to do about an entry with time to live `ttl` that was renewed `since` ago, when an entry written now
/// would get `wanted`. All times are in milliseconds.
///
/// A short time to live is not raised: an instance that has run a step is likely to run another soon. Small changes of
/// the number of instances cause no calls.
///
/// # Examples
///
/// ```
/// use spread::lease::{IDLE_TTL, LeaseAction, ACTIVE_TTL, next_action};
///
/// assert_eq!(next_action(IDLE_TTL, IDLE_TTL, 1_000), LeaseAction::Keep);
/// assert_eq!(next_action(IDLE_TTL, IDLE_TTL, 4_800), LeaseAction::Renew);
/// // Other instances have begun to depend on it.
/// assert_eq!(next_action(IDLE_TTL, ACTIVE_TTL, 1_000), LeaseAction::Rewrite);
/// // It has learned how many instances there are.
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
