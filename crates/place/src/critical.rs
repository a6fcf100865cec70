//! Decides which runs may move to a faster engine: those whose sample decides when its step ends.
//!
//! Load pattern: a step has some hundred samples on engines of different speeds, and most samples end long before the
//! last one. Moving such a sample breaks off a run, opens a connection and has the prompt processed again, and the step
//! ends no sooner. One late event, or an engine that processes the prompts of a burst, must not look like a slow
//! engine either.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;
use table::Upstream;
use table::UpstreamList;

use crate::EngineTracker;
use crate::PlacementRequest;
use crate::tracker::MIN_GAIN_MS;
use crate::tracker::MIN_SPEEDUP;

/// Expected remaining time from which on a sample decides when its step ends, as a fraction of the longest one. The
/// estimates are rough, so samples near the longest one count as well.
const MIN_FRACTION: f64 = 0.5;

/// Number of a run's newest event gaps of which the median is taken.
const RECENT_GAPS: usize = 7;

/// Number of its own event gaps that a run needs for a move: the median of fewer is long after a single late event.
/// With 7, steps on engines of which a third are four times slower ended 0.5 s later in replays.
const MIN_GAPS: usize = 3;

/// Minimum ratio of the run's median gap to the new engine's gap. It is below the ratio that the mean gaps need, since
/// the median of few gaps varies, and above the difference that variation alone makes among equal engines.
const MIN_MEDIAN_RATIO: f64 = 1.12;

/// Number of events on an engine after which its mean gap is used as measured: the first gap sets the mean, and a
/// single short one would attract the runs of all other engines.
const MIN_MEASURED_EVENTS: u32 = 10;

/// A sample of a step that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnfinishedSample {
    /// Number of its group in the step.
    pub group: usize,
    /// Whether it was carried over from an earlier step.
    pub carried_over: bool,
    /// Whether it waits for an engine.
    pub waiting: bool,
    /// Expected time that it needs at an engine until its text is complete, in milliseconds.
    pub remaining: f64,
}

/// Expected end of a step: the samples that the trainer waits for, and how long they will take.
///
/// # Examples
///
/// ```
/// use place::{StepEnd, UnfinishedSample};
///
/// let sample = |group, remaining| UnfinishedSample {
///     group, carried_over: false, waiting: false, remaining,
/// };
/// let samples = [sample(0, 900.0), sample(1, 4_000.0), sample(2, 6_000.0)];
/// // The trainer waits for two more groups, and group 2 would be the last one.
/// let end = StepEnd::estimate(samples.into_iter(), 2);
/// assert!(end.is_decided_by(1, 4_000.0));
/// assert!(!end.is_decided_by(0, 900.0));
/// assert!(!end.is_decided_by(2, 6_000.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StepEnd {
    longest: f64,
    waited_groups: Set<usize>,
}

/// Group of unfinished samples.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    carried_over: bool,
    waiting: bool,
    remaining: f64,
}

impl StepEnd {
    /// Estimates the end of a step whose trainer waits for `missing_groups` more groups.
    ///
    /// These are the groups carried over from an earlier step, as in the start order of samples, and those that are
    /// expected to be complete first. A group with a sample that waits for an engine comes after the others, since how
    /// long it waits is unknown: surplus groups start last.
    pub fn estimate(samples: impl Iterator<Item = UnfinishedSample>, missing_groups: u32) -> Self {
        let mut groups: Map<usize, Group> = Map::default();
        for sample in samples {
            let group = groups.entry(sample.group).or_default();
            group.carried_over |= sample.carried_over;
            group.waiting |= sample.waiting;
            group.remaining = group.remaining.max(sample.remaining);
        }
        let mut groups: Vec<_> = groups.into_iter().collect();
        groups.sort_by(|(a_number, a), (b_number, b)| {
            let carried_first = b.carried_over.cmp(&a.carried_over);
            let running_first = a.waiting.cmp(&b.waiting);
            carried_first
                .then(running_first)
                .then(a.remaining.total_cmp(&b.remaining))
                .then(a_number.cmp(b_number))
        });
        let carried = groups.iter().filter(|(_, group)| group.carried_over);
        let waited = carried.count().max(missing_groups as usize);
        groups.truncate(waited);
        Self {
            longest: groups
                .iter()
                .map(|(_, group)| group.remaining)
                .fold(0.0, f64::max),
            waited_groups: groups.into_iter().map(|(number, _)| number).collect(),
        }
    }

    /// Returns whether a sample with this expected remaining time, in milliseconds, decides when the step ends.
    pub fn is_decided_by(&self, group: usize, remaining: f64) -> bool {
        self.waited_groups.contains(&group) && remaining >= self.longest * MIN_FRACTION
    }
}

/// Newest event gaps of one run, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentGaps {
    gaps: [f64; RECENT_GAPS],
    count: usize,
}

impl RecentGaps {
    /// Records the time between two events.
    pub fn record(&mut self, gap: f64) {
        self.gaps[self.count % RECENT_GAPS] = gap;
        self.count += 1;
    }

    /// Returns the median; [`None`] before enough gaps were recorded.
    fn median(&self) -> Option<f64> {
        let count = self.count.min(RECENT_GAPS);
        if count < MIN_GAPS {
            return None;
        }
        let mut sorted = self.gaps;
        let sorted = &mut sorted[..count];
        sorted.sort_by(f64::total_cmp);
        Some(sorted[(count - 1) / 2])
    }
}

/// Why a run should move to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Its engine is about to run out of memory.
    Memory,
    /// The other engine is faster. The run moves only if its sample decides when the step ends.
    Speed,
}

impl EngineTracker {
    /// Estimates how long a sample that has sent `done` events needs until it is complete, in milliseconds: at
    /// `engine`, or at a typical one if it waits.
    pub fn remaining_time(
        &self,
        engine: Option<&str>,
        expected: u32,
        done: u64,
        now: Millis,
    ) -> f64 {
        let typical = self.median_gap(now);
        let gap = engine.map_or(typical, |id| self.mean_gap(id, typical, now));
        f64::from(self.remaining_events(expected, done)) * gap
    }

    /// Like [`choose_better`](Self::choose_better), but the run's own `gaps` have to confirm that its engine is slower.
    pub fn choose_confirmed(
        &self,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        current: &str,
        remaining: u32,
        gaps: &RecentGaps,
        now: Millis,
    ) -> Option<(Arc<Upstream>, MoveReason)> {
        let best = self.choose_better(list, request, current, remaining, now)?;
        if self.is_nearly_full(request, current) {
            return Some((best, MoveReason::Memory));
        }
        let best_gap = self.confirmed_gap(&best.id, now);
        let current_gap = self.mean_gap(current, best_gap, now);
        let gain = f64::from(remaining) * (current_gap - best_gap);
        let confirmed = gaps
            .median()
            .is_some_and(|median| median > best_gap * MIN_MEDIAN_RATIO);
        let worthwhile = current_gap > best_gap * MIN_SPEEDUP && gain > MIN_GAIN_MS;
        (confirmed && worthwhile).then_some((best, MoveReason::Speed))
    }

    /// Returns the event gap to expect of an engine. One that has been measured over few events counts as no faster
    /// than a typical one.
    fn confirmed_gap(&self, id: &str, now: Millis) -> f64 {
        let typical = self.median_gap(now);
        let gap = self.mean_gap(id, typical, now);
        match self.measured_events(id) < MIN_MEASURED_EVENTS {
            true => gap.max(typical),
            false => gap,
        }
    }
}
