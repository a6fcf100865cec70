//! What one entry instance counts.
//!
//! A request counts once, in the window in which it was first sent to an upstream that may have run it,
//! however often it is tried. A window is closed when it is over and no request that was sent in it is under way.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Windows;

/// Closed windows that are kept: as many as are still reported after a time without a holder.
pub(crate) const KEPT: u64 = 24;

/// Most windows that are kept, closed or not: requests that take far longer than a window hold each of them open.
const MOST: usize = 256;

/// Attempts at one request.
///
/// # Examples
///
/// ```
/// let mut attempts = usage::RequestAttempts::default();
/// let first = attempts.record_send(100);
/// attempts.record_send(250);
/// attempts.mark_unexecuted(first);
/// assert_eq!(attempts.started_at(), Some(250));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestAttempts {
    /// When each attempt was sent; [`None`] for one that is known not to have been executed.
    sent: Vec<Option<Millis>>,
    /// Window that the request keeps open.
    window: Option<u64>,
}

impl RequestAttempts {
    /// Returns whether the request was never sent.
    pub fn is_unsent(&self) -> bool {
        self.sent.is_empty()
    }

    /// Records that the request is sent. Returns the number of the attempt.
    pub fn record_send(&mut self, at: Millis) -> usize {
        self.sent.push(Some(at));
        self.sent.len() - 1
    }

    /// Records that the upstream did not execute an attempt and never will.
    pub fn mark_unexecuted(&mut self, attempt: usize) {
        if let Some(sent) = self.sent.get_mut(attempt) {
            *sent = None;
        }
    }

    /// Returns when the request began to be executed; [`None`] if no upstream executed it.
    pub fn started_at(&self) -> Option<Millis> {
        self.sent.iter().flatten().copied().min()
    }
}

/// Counts of an entry instance at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the last closed window.
    pub through: u64,
    /// The newest windows, each with its number and counts.
    pub windows: Vec<(u64, Counts)>,
}

#[derive(Debug, Default)]
struct Window {
    counts: Map<Arc<str>, u64>,
    under_way: u32,
}

/// Counts the requests of an entry instance.
///
/// # Examples
///
/// ```
/// use usage::{Meter, RequestAttempts, Windows};
///
/// let mut meter = Meter::new(Windows::new(5_000), 10_000);
/// let mut attempts = RequestAttempts::default();
/// meter.start_request(&mut attempts, 12_000);
/// attempts.record_send(12_000);
/// assert_eq!(meter.snapshot(15_100).through, 1);
/// meter.finish_request(&attempts, &"a".into());
/// let snapshot = meter.snapshot(15_100);
/// assert_eq!((snapshot.through, snapshot.windows), (2, vec![(2, vec![("a".into(), 1)])]));
/// ```
#[derive(Debug)]
pub struct Meter {
    of: Windows,
    windows: BTreeMap<u64, Window>,
    through: u64,
}

impl Meter {
    /// Makes a meter that has counted nothing before `now`.
    pub fn new(of: Windows, now: Millis) -> Self {
        Self {
            of,
            windows: BTreeMap::new(),
            through: of.containing(now).saturating_sub(1),
        }
    }

    /// Records that a request is about to be sent. Its window stays open until the request finishes.
    pub fn start_request(&mut self, attempts: &mut RequestAttempts, now: Millis) {
        // A clock that was set back must not open what is closed.
        let window = self.of.containing(now).max(self.through + 1);
        attempts.window = Some(window);
        self.windows.entry(window).or_default().under_way += 1;
    }

    /// Records that a request of a team has finished, and counts it if it was executed.
    pub fn finish_request(&mut self, attempts: &RequestAttempts, team: &Arc<str>) {
        let Some(held) = attempts.window else { return };
        if let Some(window) = self.windows.get_mut(&held) {
            window.under_way = window.under_way.saturating_sub(1);
        }
        let Some(started) = attempts.started_at() else {
            return;
        };
        let window = self.of.containing(started).max(held);
        let counts = &mut self.windows.entry(window).or_default().counts;
        *counts.entry(team.clone()).or_default() += 1;
    }

    /// Closes the windows that are over at `now` and returns the counts so far.
    pub fn snapshot(&mut self, now: Millis) -> Snapshot {
        let busy = self.windows.iter().find(|(_, window)| window.under_way > 0);
        let busy = busy.map_or(u64::MAX, |(window, _)| *window);
        let over = self.of.containing(now).saturating_sub(1);
        // Only what was told as closed before is dropped. A window that slow requests had held open for longer
        // than the others are kept would else be dropped before anybody had its figures.
        let first = (self.through + 1).saturating_sub(KEPT);
        self.windows = self.windows.split_off(&first);
        while self.windows.len() > MOST {
            self.windows.pop_first();
        }
        self.through = self.through.max(over.min(busy.saturating_sub(1)));
        let windows = self.windows.iter();
        let counted = windows.filter(|(_, window)| !window.counts.is_empty());
        Snapshot {
            through: self.through,
            windows: counted
                .map(|(number, window)| (*number, sorted(&window.counts)))
                .collect(),
        }
    }
}

fn sorted(counts: &Map<Arc<str>, u64>) -> Counts {
    let all = counts.iter().map(|(team, count)| (team.clone(), *count));
    let mut all: Vec<_> = all.collect();
    all.sort();
    all
}
