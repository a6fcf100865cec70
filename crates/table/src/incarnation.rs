//! Distinguishes the incarnations of upstreams that restart under the same name.
//!
//! A restarted upstream has lost its state, and its counters begin anew. Each incarnation gets its own
//! identifier, so that the free slots, speed, weight versions and failures recorded for the previous one
//! aren't attributed to it.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

/// One run of an upstream process, as described by its entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Name that the upstream gives itself; it can be the same in several incarnations.
    pub name: Arc<str>,
    /// Start time in milliseconds since 1970 by the upstream's own clock, if reported.
    pub started_at: Option<Millis>,
    /// Number of heartbeats since the start.
    pub heartbeats: u64,
}

/// Tracks the newest known incarnation of each upstream.
///
/// # Examples
///
/// ```
/// use table::{Incarnation, Incarnations};
///
/// let run = |started_at, heartbeats| Incarnation {
///     name: "i-1".into(), started_at: Some(started_at), heartbeats,
/// };
/// let mut incarnations = Incarnations::default();
/// let first = incarnations.identify(&run(100, 7), 1);
/// let second = incarnations.identify(&run(200, 1), 2);
/// assert!(first.is_some() && second.is_some() && first != second);
/// // A late entry of the previous incarnation is ignored.
/// assert_eq!(incarnations.identify(&run(100, 8), 3), None);
/// assert_eq!(incarnations.identify(&run(200, 2), 4), second);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    /// By the name of the upstream.
    latest: Map<Arc<str>, Latest>,
}

#[derive(Clone, Debug)]
struct Latest {
    started_at: Option<Millis>,
    heartbeats: u64,
    /// Revision of the newest entry.
    rev: i64,
    id: Arc<str>,
    /// Restarts detected without a reported start time.
    restarts: u32,
}

impl Incarnations {
    /// Returns the identifier of the incarnation that an entry of revision `rev` describes; [`None`] if a
    /// newer incarnation of the upstream is known.
    ///
    /// An upstream that reports no start time has restarted if a newer entry has fewer heartbeats.
    pub fn identify(&mut self, seen: &Incarnation, rev: i64) -> Option<Arc<str>> {
        let Some(last) = self.latest.get_mut(&seen.name) else {
            let id = identifier(&seen.name, seen.started_at, 0);
            let last = Latest {
                started_at: seen.started_at,
                heartbeats: seen.heartbeats,
                rev,
                id: id.clone(),
                restarts: 0,
            };
            self.latest.insert(seen.name.clone(), last);
            return Some(id);
        };
        match (last.started_at, seen.started_at) {
            (Some(newest), Some(started_at)) if started_at < newest => return None,
            (Some(_), None) => return Some(last.id.clone()),
            (None, None) if rev > last.rev && seen.heartbeats < last.heartbeats => {
                last.restarts += 1
            }
            _ => (),
        }
        if rev >= last.rev {
            last.rev = rev;
            last.heartbeats = seen.heartbeats;
        }
        last.started_at = seen.started_at;
        let id = identifier(&seen.name, last.started_at, last.restarts);
        if *id != *last.id {
            last.id = id;
        }
        Some(last.id.clone())
    }

    /// Removes upstreams whose name is not `listed` once they are more than half of all.
    pub fn prune(&mut self, listed: impl Fn(&str) -> bool) {
        let unlisted = self.latest.keys().filter(|name| !listed(name)).count();
        if unlisted * 2 > self.latest.len() {
            self.latest.retain(|name, _| listed(name));
        }
    }
}

fn identifier(name: &Arc<str>, started_at: Option<Millis>, restarts: u32) -> Arc<str> {
    match (started_at, restarts) {
        (Some(started_at), _) => format!("{name}@{started_at}").into(),
        (None, 0) => name.clone(),
        (None, restarts) => format!("{name}#{restarts}").into(),
    }
}
