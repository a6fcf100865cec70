//! Which connection gives way when there is no place or no memory for another one.
//!
//! The one that has waited longest without progress gives way, and first one of an address that has many: a connection
//! whose request is under way never does, and one that has been served before only when no other can.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// Time without progress after which a body that is being received may give way.
pub const STALL_TIME: Duration = Duration::from_millis(250);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiting {
    /// For another request, after one that was answered.
    NextRequest,
    /// For its first request, the rest of a body, or the close by the other side.
    Progress,
}

/// A connection that may give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address of the other side.
    pub from: IpAddr,
    /// What it waits for.
    pub waiting: Waiting,
    /// Time without progress.
    pub idle: Duration,
}

/// Returns the key of the connection that gives way, if one can.
///
/// # Examples
///
/// ```
/// use std::net::IpAddr;
/// use std::time::Duration;
/// use net::eviction::{Candidate, Waiting, choose};
///
/// let candidate = |from: [u8; 4], seconds| Candidate {
///     from: IpAddr::from(from),
///     waiting: Waiting::Progress,
///     idle: Duration::from_secs(seconds),
/// };
/// let (one, crowd) = ([127, 0, 0, 1], [127, 0, 0, 2]);
/// let candidates = [candidate(one, 9), candidate(crowd, 2), candidate(crowd, 3)];
/// assert_eq!(choose(candidates.into_iter().enumerate()), Some(2));
/// ```
pub fn choose<K: Copy>(candidates: impl Iterator<Item = (K, Candidate)> + Clone) -> Option<K> {
    let mut counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for (_, candidate) in candidates.clone() {
        *counts.entry(candidate.from).or_default() += 1;
    }
    let rank = |candidate: &Candidate| {
        let siblings = counts.get(&candidate.from).copied().unwrap_or_default();
        (candidate.waiting, siblings, candidate.idle)
    };
    let (key, _) = candidates.max_by_key(|(_, candidate)| rank(candidate))?;
    Some(key)
}
