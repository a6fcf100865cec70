//! Usage reports of the leader, sent and still to be sent.
//!
//! All reports of one window state the same counts: each report is persisted before it is sent, and a new leader
//! sends the persisted reports byte for byte.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::WindowCounts;
use crate::Windows;
use crate::snapshot_store::Source;

/// Number of reports that are kept: one or two minutes of the shortest windows, longer than any report may be late.
const KEPT_REPORTS: usize = 24;

/// Time after the end of a window before its counts are collected, in milliseconds. Entry instances send snapshots
/// every 300 ms, and one that has just started is not yet among the known live ones.
const SETTLE_MS: Millis = 700;

/// Time after the end of a window for which the leader waits for an instance that is not known to be alive but has
/// sent counts shortly before, in milliseconds: it has either just started or been killed.
const UNKNOWN_SOURCE_WAIT_MS: Millis = 1_500;

/// Usage of all teams in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Requests by team.
    pub counts: Counts,
}

/// What the leader has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Wait this many milliseconds.
    Wait(Millis),
    /// Collect the counts of this window.
    Collect(u64),
}

/// The newest reports, and the window to report next.
///
/// # Examples
///
/// ```
/// use usage::{Ledger, NextAction, Windows};
///
/// let ledger = Ledger::new(Windows::new(5_000), 12_000);
/// assert_eq!(ledger.next_action(Windows::new(5_000), 14_000), NextAction::Wait(1_700));
/// assert_eq!(ledger.next_action(Windows::new(5_000), 15_700), NextAction::Collect(2));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    /// Number of the window to report next.
    next: u64,
    /// The newest reports, oldest first.
    reports: Vec<Report>,
}

impl Ledger {
    /// Creates a ledger that starts with the window that contains `now`, when nothing was served before.
    pub fn new(windows: Windows, now: Millis) -> Self {
        Self::starting_at(windows.containing(now))
    }

    /// Creates a ledger that starts with the given window.
    pub fn starting_at(window: u64) -> Self {
        Self {
            next: window,
            reports: Vec::new(),
        }
    }

    /// Returns the windows before the given one that may still be reported, oldest first.
    pub fn reportable_before(window: u64) -> Range<u64> {
        window.saturating_sub(KEPT_REPORTS as u64)..window
    }

    /// Returns the kept reports, oldest first.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// Returns the next action. After a long time without a leader, windows whose counts no instance keeps any more are
    /// skipped.
    pub fn next_action(&self, windows: Windows, now: Millis) -> NextAction {
        let oldest = windows.containing(now).saturating_sub(KEPT_REPORTS as u64);
        let window = self.next.max(oldest);
        match (windows.end(window) + SETTLE_MS).checked_sub(now) {
            Some(wait @ 1..) => NextAction::Wait(wait),
            Some(0) | None => NextAction::Collect(window),
        }
    }

    /// Adds up the counts of a window, which ended `age` milliseconds ago. Returns [`None`] while an instance in
    /// `live`, or one that may be alive, has not closed the window, unless it is already `late`.
    pub fn aggregate(
        &self,
        window: u64,
        all: Vec<WindowCounts>,
        live: &Set<Source>,
        age: Millis,
        late: bool,
    ) -> Option<Report> {
        let mut newest: Map<Source, WindowCounts> = Map::default();
        for counts in all {
            let known = newest.get(&counts.source);
            if known.is_none_or(|known| progress(known) < progress(&counts)) {
                newest.insert(counts.source.clone(), counts);
            }
        }
        let closed = |source| newest.get(source).is_some_and(|counts| counts.closed);
        let all_closed = newest
            .values()
            .all(|counts| counts.closed || !counts.recent);
        let settled = live.iter().all(closed) && (all_closed || age >= UNKNOWN_SOURCE_WAIT_MS);
        if !late && !settled {
            return None;
        }
        let mut sum: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for (team, count) in newest.into_values().flat_map(|counts| counts.counts) {
            *sum.entry(team).or_default() += count;
        }
        let counts = sum.into_iter().collect();
        Some(Report { window, counts })
    }

    /// Returns the live instances that have not closed the window yet according to `counts`.
    pub fn missing_sources(counts: &[WindowCounts], live: &Set<Source>) -> Vec<Source> {
        let closed = |source: &&Source| {
            let mut own = counts.iter().filter(|one| one.source == **source);
            own.any(|one| one.closed)
        };
        live.iter()
            .filter(|source| !closed(source))
            .cloned()
            .collect()
    }

    /// Records a report, which must be persisted before it is sent. A report of a window that was already reported
    /// is ignored.
    pub fn record(&mut self, report: Report) {
        if report.window < self.next {
            return;
        }
        self.next = report.window + 1;
        self.reports.push(report);
        if self.reports.len() > KEPT_REPORTS {
            self.reports.remove(0);
        }
    }
}

/// Returns a key that is greater for newer counts of a source, since counts only grow.
fn progress(counts: &WindowCounts) -> (u64, bool) {
    let sum = counts.counts.iter().map(|(_, count)| count).sum();
    (sum, counts.closed)
}
