//! What the holder of the duty has reported, and what it reports next.
//!
//! A figure that was sent once is never followed by another one for the same window: each report is written down
//! before it is sent, and whoever takes the duty over sends what is written, to the byte.

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
use crate::keeper::Source;

/// Reports that are kept: those of a minute or two of the shortest windows, longer than any may be late by.
const KEPT: usize = 24;

/// Time after the end of a window before its figures are collected, in milliseconds: entry instances tell what
/// they count each 300 ms, and one that has just started is not among those that are known to live.
const SETTLE: Millis = 700;

/// Time after the end of a window for which an instance that is not known to live, and has told something of the
/// windows before, is waited for, in milliseconds: it has started a moment ago, or was killed.
const UNKNOWN: Millis = 1_500;

/// The requests of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: u64,
    /// Its requests.
    pub counts: Counts,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing is due for so many milliseconds.
    Wait(Millis),
    /// The figures of this window are to be collected.
    Collect(u64),
}

/// What was reported.
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
    /// The window that is due next.
    next: u64,
    /// The newest reports, the oldest first.
    reports: Vec<Report>,
}

impl Ledger {
    /// Begins with the window of a time, where nothing was served before.
    pub fn new(windows: Windows, now: Millis) -> Self {
        Self::starting_at(windows.containing(now))
    }

    /// Begins with a window.
    pub fn starting_at(window: u64) -> Self {
        Self {
            next: window,
            reports: Vec::new(),
        }
    }

    /// The windows before one that may still be reported, the oldest first.
    pub fn reportable_before(window: u64) -> Range<u64> {
        window.saturating_sub(KEPT as u64)..window
    }

    /// The reports, the oldest first.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// What is due. After a long time without any holder, windows are left out of which nobody knows anything
    /// any more.
    pub fn next_action(&self, windows: Windows, now: Millis) -> NextAction {
        let oldest = windows.containing(now).saturating_sub(KEPT as u64);
        let window = self.next.max(oldest);
        match (windows.end(window) + SETTLE).checked_sub(now) {
            Some(wait @ 1..) => NextAction::Wait(wait),
            Some(0) | None => NextAction::Collect(window),
        }
    }

    /// Adds up the shares of a window. `live` are the instances that have to be heard of; [`None`] when one has
    /// not closed the window and it is not `late` yet. The window ended `age` milliseconds ago.
    pub fn aggregate(
        &self,
        window: u64,
        shares: Vec<WindowCounts>,
        live: &Set<Source>,
        age: Millis,
        late: bool,
    ) -> Option<Report> {
        let mut best: Map<Source, WindowCounts> = Map::default();
        for share in shares {
            let held = best.get(&share.source);
            if held.is_none_or(|held| weight(held) < weight(&share)) {
                best.insert(share.source.clone(), share);
            }
        }
        let closed = |source| best.get(source).is_some_and(|share| share.closed);
        let heard = best.values().all(|share| share.closed || !share.recent);
        let settled = live.iter().all(closed) && (heard || age >= UNKNOWN);
        if !late && !settled {
            return None;
        }
        let mut sum: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for (team, count) in best.into_values().flat_map(|share| share.counts) {
            *sum.entry(team).or_default() += count;
        }
        let counts = sum.into_iter().collect();
        Some(Report { window, counts })
    }

    /// The live instances that have not closed a window yet, as far as shares tell.
    pub fn missing_sources(shares: &[WindowCounts], live: &Set<Source>) -> Vec<Source> {
        let closed = |source: &&Source| {
            let mut told = shares.iter().filter(|share| share.source == **source);
            told.any(|share| share.closed)
        };
        live.iter()
            .filter(|source| !closed(source))
            .cloned()
            .collect()
    }

    /// Takes a report in, which is then to be written before it is sent. One of a window that was reported
    /// changes nothing.
    pub fn record(&mut self, report: Report) {
        if report.window < self.next {
            return;
        }
        self.next = report.window + 1;
        self.reports.push(report);
        if self.reports.len() > KEPT {
            self.reports.remove(0);
        }
    }
}

/// How much a share says; counts only grow.
fn weight(share: &WindowCounts) -> (u64, bool) {
    let sum = share.counts.iter().map(|(_, count)| count).sum();
    (sum, share.closed)
}
