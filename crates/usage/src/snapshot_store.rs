//! Snapshots that an instance stores for the entry instances of its failure domain.
//!
//! If an entry instance is killed in the middle of a window, the counts that it had sent by then still
//! count. It sends its counts within a fraction of a second.

use std::sync::Arc;

use kernel::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Snapshot;
use crate::meter::KEPT_CLOSED_WINDOWS;

/// Age in windows from which the snapshot of an entry instance that has sent no newer one is ignored.
const MAX_SNAPSHOT_AGE: u64 = 24;

/// Windows by which the last closed window of an instance that is taken to be alive may precede the reported one.
const RECENT_WINDOWS: u64 = 2;

/// Snapshots that are stored before old ones are pruned; each takes some kilobytes.
const MAX_SNAPSHOTS: usize = 1_024;

/// One start of an entry instance: its name and the number of the start.
pub type Source = (Arc<str>, u64);

/// Counts of one window by one start of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WindowCounts {
    /// Start of the entry instance that counted.
    pub source: Source,
    /// Whether the window is closed there, so that its counts are final.
    pub closed: bool,
    /// Whether it has closed a window shortly before this one, and so is taken to be alive.
    pub recent: bool,
    /// Requests by team.
    pub counts: Counts,
}

/// The newest snapshot of each start of an entry instance.
///
/// # Examples
///
/// ```
/// use usage::{Snapshot, SnapshotStore};
///
/// let mut store = SnapshotStore::default();
/// let snapshot = Snapshot { through: 7, windows: vec![(7, vec![("a".into(), 2)])] };
/// store.update(("e1".into(), 1), snapshot);
/// assert_eq!(store.window_counts(7)[0].counts, [("a".into(), 2)]);
/// assert!(!store.window_counts(8)[0].closed);
/// ```
#[derive(Debug, Default)]
pub struct SnapshotStore {
    snapshots: Map<Source, Snapshot>,
}

impl SnapshotStore {
    /// Stores a snapshot of an entry instance. One that arrives late and is older changes nothing.
    pub fn update(&mut self, source: Source, snapshot: Snapshot) {
        if !self.snapshots.contains_key(&source) && self.snapshots.len() >= MAX_SNAPSHOTS {
            self.prune(newest_window(&snapshot));
        }
        let stored = self.snapshots.entry(source).or_default();
        if progress(&snapshot) >= progress(stored) {
            *stored = snapshot;
        }
    }

    fn prune(&mut self, window: u64) {
        self.snapshots
            .retain(|_, snapshot| newest_window(snapshot) + MAX_SNAPSHOT_AGE >= window);
    }

    /// Returns the counts of a window, one item for each source.
    pub fn window_counts(&self, window: u64) -> Vec<WindowCounts> {
        let all = self.snapshots.iter();
        let current =
            all.filter(|(_, snapshot)| newest_window(snapshot) + MAX_SNAPSHOT_AGE >= window);
        current
            .map(|(source, snapshot)| snapshot.window_counts(source.clone(), window))
            .collect()
    }
}

impl Snapshot {
    /// Returns the counts of one window.
    pub fn window_counts(&self, source: Source, window: u64) -> WindowCounts {
        let found = self.windows.iter().find(|(number, _)| *number == window);
        WindowCounts {
            source,
            closed: self.through >= window,
            recent: self.through + RECENT_WINDOWS >= window,
            counts: found.map(|(_, counts)| counts.clone()).unwrap_or_default(),
        }
    }
}

/// Returns a key that is greater for newer snapshots of a source: windows only close, new ones only begin, and
/// counts only grow. Old windows do not count, since they are dropped some time after they were closed.
fn progress(snapshot: &Snapshot) -> (u64, u64, u64) {
    let windows = snapshot.windows.iter();
    let kept = windows.filter(|(window, _)| window + KEPT_CLOSED_WINDOWS > snapshot.through);
    let counts = kept.flat_map(|(_, counts)| counts);
    let sum = counts.map(|(_, count)| count).sum();
    (snapshot.through, newest_window(snapshot), sum)
}

/// Returns the newest window that a snapshot covers. A slow request keeps its window open, and those after it, so
/// the last closed window may be older.
fn newest_window(snapshot: &Snapshot) -> u64 {
    let counted = snapshot.windows.last().map_or(0, |(window, _)| *window);
    counted.max(snapshot.through)
}
