//! What a keeper has of the entry instances of its failure domain.
//!
//! Load pattern: an entry instance is killed in the midst of a window. What it had told its keeper by then
//! still counts; what it counts is told within a part of a second.

use std::sync::Arc;

use kernel::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Tally;
use crate::meter::KEPT;

/// Windows after which nothing is asked of an entry instance any more that has told nothing since.
const OLD: u64 = 24;

/// Windows before one within which an instance has closed one that is taken to live still.
const RECENT: u64 = 2;

/// Starts of entry instances that are remembered: some kilobytes each.
const MOST: usize = 1_024;

/// One start of an entry instance.
pub type Source = (Arc<str>, u64);

/// What one start of an entry instance has counted in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Who has counted it.
    pub source: Source,
    /// Whether the window is closed there.
    pub closed: bool,
    /// Whether it has told of the windows right before.
    pub recent: bool,
    /// Its requests.
    pub counts: Counts,
}

/// What entry instances have told.
///
/// # Examples
///
/// ```
/// use usage::{Keeper, Tally};
///
/// let mut keeper = Keeper::default();
/// let tally = Tally { through: 7, windows: vec![(7, vec![("a".into(), 2)])] };
/// keeper.take(("e1".into(), 1), tally);
/// assert_eq!(keeper.shares(7)[0].counts, [("a".into(), 2)]);
/// assert!(!keeper.shares(8)[0].closed);
/// ```
#[derive(Debug, Default)]
pub struct Keeper {
    tallies: Map<Source, Tally>,
}

impl Keeper {
    /// Takes in what an entry instance tells; an older word, which has less, changes nothing.
    pub fn take(&mut self, source: Source, tally: Tally) {
        if !self.tallies.contains_key(&source) && self.tallies.len() >= MOST {
            self.prune(newest(&tally));
        }
        let held = self.tallies.entry(source).or_default();
        if size(&tally) >= size(held) {
            *held = tally;
        }
    }

    fn prune(&mut self, now: u64) {
        self.tallies.retain(|_, tally| newest(tally) + OLD >= now);
    }

    /// What is known of a window, by who has counted it.
    pub fn shares(&self, window: u64) -> Vec<Share> {
        let all = self.tallies.iter();
        let fresh = all.filter(|(_, tally)| newest(tally) + OLD >= window);
        fresh
            .map(|(source, tally)| tally.share(source.clone(), window))
            .collect()
    }
}

impl Tally {
    /// What it says of one window.
    pub fn share(&self, source: Source, window: u64) -> Share {
        let found = self.windows.iter().find(|(number, _)| *number == window);
        Share {
            source,
            closed: self.through >= window,
            recent: self.through + RECENT >= window,
            counts: found.map(|(_, counts)| counts.clone()).unwrap_or_default(),
        }
    }
}

/// How much a tally says: windows only close, new ones only begin, and counts only grow. Old windows are
/// dropped, some time after one was closed, and do not count.
fn size(tally: &Tally) -> (u64, u64, u64) {
    let windows = tally.windows.iter();
    let kept = windows.filter(|(window, _)| window + KEPT > tally.through);
    let counts = kept.flat_map(|(_, counts)| counts);
    let sum = counts.map(|(_, count)| count).sum();
    (tally.through, newest(tally), sum)
}

/// The newest window of which a tally says anything. One slow request holds its window open, and those after it.
fn newest(tally: &Tally) -> u64 {
    let counted = tally.windows.last().map_or(0, |(window, _)| *window);
    counted.max(tally.through)
}
