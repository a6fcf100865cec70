//! Counting of requests by one entry instance.
//!
//! A request counts once, however often it is attempted: in the window in which it was first sent to an upstream
//! that may have executed it. A window is closed when it is over and no request sent in it is in progress.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Windows;

/// Number of closed windows that are kept: as many as can still be reported after a time without a leader.
pub(crate) const KEPT_CLOSED_WINDOWS: u64 = 24;

/// Most windows that are kept, closed or open: a request that takes far longer than a window keeps all of them open.
const MAX_WINDOWS: usize = 256;

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
    in_progress: u32,
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
    grid: Windows,
    windows: BTreeMap<u64, Window>,
    through: u64,
}

impl Meter {
    /// Creates a meter whose windows before the one that contains `now` are closed and empty.
    pub fn new(grid: Windows, now: Millis) -> Self {
        Self {
            grid,
            windows: BTreeMap::new(),
            through: grid.containing(now).saturating_sub(1),
        }
    }

    /// Records that a request is about to be sent. Its window stays open until the request finishes.
    pub fn start_request(&mut self, attempts: &mut RequestAttempts, now: Millis) {
        // A clock that was set back must not reopen a closed window.
        let window = self.grid.containing(now).max(self.through + 1);
        attempts.window = Some(window);
        self.windows.entry(window).or_default().in_progress += 1;
    }

    /// Records that a request of a team has finished, and counts it if it was executed.
    pub fn finish_request(&mut self, attempts: &RequestAttempts, team: &Arc<str>) {
        let Some(first) = attempts.window else { return };
        if let Some(window) = self.windows.get_mut(&first) {
            window.in_progress = window.in_progress.saturating_sub(1);
        }
        let Some(started) = attempts.started_at() else {
            return;
        };
        let window = self.grid.containing(started).max(first);
        let counts = &mut self.windows.entry(window).or_default().counts;
        *counts.entry(team.clone()).or_default() += 1;
    }

    /// Closes the windows that are over at `now` and returns the counts so far.
    pub fn snapshot(&mut self, now: Millis) -> Snapshot {
        let oldest_open = self
            .windows
            .iter()
            .find(|(_, window)| window.in_progress > 0);
        let oldest_open = oldest_open.map_or(u64::MAX, |(window, _)| *window);
        let last_over = self.grid.containing(now).saturating_sub(1);
        // Only windows that an earlier snapshot stated as closed are dropped. Otherwise a window that slow requests
        // kept open for longer than closed ones are kept would be dropped before its counts were ever sent.
        let oldest_kept = (self.through + 1).saturating_sub(KEPT_CLOSED_WINDOWS);
        self.windows = self.windows.split_off(&oldest_kept);
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
        self.through = self
            .through
            .max(last_over.min(oldest_open.saturating_sub(1)));
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
