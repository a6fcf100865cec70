//! Which start of which upstream an entry is about.
//!
//! An upstream may start again under the name that it had. It has nothing of what it had before, and its
//! counts begin anew. What was known of the former start, its free places, paces, versions and failures,
//! would be believed of the new one, so each start has an identifier of its own here.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

/// What an entry says of the start of its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The name that the upstream gives itself; another start may have the same.
    pub name: Arc<str>,
    /// When it started, in milliseconds since 1970 on its own clock, if it says so.
    pub started_at: Option<Millis>,
    /// Heartbeats since then.
    pub heartbeats: u64,
}

/// The newest starts of upstreams that are known.
///
/// # Examples
///
/// ```
/// use table::{Incarnation, Incarnations};
///
/// let start = |started_at, heartbeats| Incarnation { name: "i-1".into(), started_at: Some(started_at), heartbeats };
/// let mut starts = Incarnations::default();
/// let first = starts.identify(&start(100, 7), 1);
/// let second = starts.identify(&start(200, 1), 2);
/// assert!(first.is_some() && second.is_some() && first != second);
/// // A late entry of the former start changes nothing.
/// assert_eq!(starts.identify(&start(100, 8), 3), None);
/// assert_eq!(starts.identify(&start(200, 2), 4), second);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    known: Map<Arc<str>, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    started_at: Option<Millis>,
    heartbeats: u64,
    /// The revision of the entry.
    rev: i64,
    id: Arc<str>,
    /// Incarnations of that name that did not say when they were.
    count: u32,
}

impl Incarnations {
    /// Gives the identifier of the start that an entry is about; [`None`] when a newer start of its
    /// upstream is known.
    ///
    /// An upstream that does not say when it started has started anew when a newer entry has fewer
    /// heartbeats.
    pub fn identify(&mut self, start: &Incarnation, rev: i64) -> Option<Arc<str>> {
        let Some(known) = self.known.get_mut(&start.name) else {
            let id = identifier(&start.name, start.started_at, 0);
            let known = Known {
                started_at: start.started_at,
                heartbeats: start.heartbeats,
                rev,
                id: id.clone(),
                count: 0,
            };
            self.known.insert(start.name.clone(), known);
            return Some(id);
        };
        match (known.started_at, start.started_at) {
            (Some(newest), Some(started_at)) if started_at < newest => return None,
            (Some(_), None) => return Some(known.id.clone()),
            (None, None) if rev > known.rev && start.heartbeats < known.heartbeats => {
                known.count += 1
            }
            _ => (),
        }
        if rev >= known.rev {
            known.rev = rev;
            known.heartbeats = start.heartbeats;
        }
        known.started_at = start.started_at;
        let id = identifier(&start.name, known.started_at, known.count);
        if *id != *known.id {
            known.id = id;
        }
        Some(known.id.clone())
    }

    /// Forgets upstreams whose name is not `listed` once there are as many of them as of the others.
    pub fn prune(&mut self, listed: impl Fn(&str) -> bool) {
        let gone = self.known.keys().filter(|name| !listed(name)).count();
        if gone * 2 > self.known.len() {
            self.known.retain(|name, _| listed(name));
        }
    }
}

fn identifier(name: &Arc<str>, started_at: Option<Millis>, count: u32) -> Arc<str> {
    match (started_at, count) {
        (Some(started_at), _) => format!("{name}@{started_at}").into(),
        (None, 0) => name.clone(),
        (None, count) => format!("{name}#{count}").into(),
    }
}
