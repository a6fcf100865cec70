//! Why the samples of a step make no progress, and since when.
//!
//! A sample that has not ended either waits for an engine, runs at one, or waits for its score. [`Waits`] is told
//! periodically what holds of each, and says which of them have made no progress for longer than an ordinary run needs
//! for its next event, and why.

use kernel::Map;
use kernel::Millis;

/// Minimum interval between two updates, in milliseconds.
pub const UPDATE_INTERVAL: Millis = 1_000;

/// Time without progress after which a sample counts as waiting, in milliseconds.
pub const MIN_WAIT: Millis = 1_000;

/// Maximum number of samples that one update names for each reason, those that have waited longest.
const MAX_NAMED: usize = 2;

/// Why a sample makes no progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// The instance knows no route for it.
    Route,
    /// The step is not known to be open.
    Permit,
    /// No engine is known to have a free slot for it.
    Slot,
    /// It runs at an engine that sends no event.
    Run,
    /// It waits for its score.
    Score,
    /// Nothing is under way for it, and it does not wait for an engine.
    Unaccounted,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Route,
        Self::Permit,
        Self::Slot,
        Self::Run,
        Self::Score,
        Self::Unaccounted,
    ];

    /// Returns the name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "no route",
            Self::Permit => "no permit",
            Self::Slot => "no slot",
            Self::Run => "silent run",
            Self::Score => "no score",
            Self::Unaccounted => "unaccounted",
        }
    }
}

/// The state of a sample that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The sample's index in the step.
    pub index: u32,
    /// Why it has not ended.
    pub reason: WaitReason,
    /// Number of events that it has.
    pub events: u64,
}

/// A sample that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The sample's index in the step.
    pub index: u32,
    /// Why it waits.
    pub reason: WaitReason,
    /// Time since its last progress, in milliseconds.
    pub waited: Millis,
}

/// The last progress of a sample.
#[derive(Clone, Copy, Debug)]
struct Progress {
    events: u64,
    at: Millis,
}

/// The samples of a step that make no progress.
///
/// # Examples
///
/// ```
/// use batch::waits::{Observation, WaitReason, Waits};
///
/// let held = Observation { index: 7, reason: WaitReason::Slot, events: 0 };
/// let mut waits = Waits::default();
/// assert!(waits.update([held], 1_000).is_empty());
/// let waiting = waits.update([held], 3_000);
/// assert_eq!((waiting[0].index, waiting[0].waited), (7, 2_000));
/// assert_eq!(waits.count(WaitReason::Slot), 1);
/// ```
#[derive(Debug, Default)]
pub struct Waits {
    progress: Map<u32, Progress>,
    counts: Map<WaitReason, usize>,
    updated_at: Option<Millis>,
}

impl Waits {
    /// Returns whether the next update is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.updated_at.is_none_or(|at| now >= at + UPDATE_INTERVAL)
    }

    /// Records the states of all samples that have not ended. Returns those that have waited longest, a few for each
    /// reason.
    pub fn update(
        &mut self,
        observations: impl IntoIterator<Item = Observation>,
        now: Millis,
    ) -> Vec<Wait> {
        self.updated_at = Some(now);
        let mut previous = std::mem::take(&mut self.progress);
        let mut waiting = Vec::new();
        for observation in observations {
            let Observation {
                index,
                reason,
                events,
            } = observation;
            let known = previous.remove(&index);
            let known = known.filter(|progress| progress.events == events);
            let progress = known.unwrap_or(Progress { events, at: now });
            self.progress.insert(index, progress);
            let waited = now - progress.at;
            if waited >= MIN_WAIT {
                waiting.push(Wait {
                    index,
                    reason,
                    waited,
                });
            }
        }
        self.count_reasons(&waiting);
        longest_by_reason(waiting)
    }

    /// Returns how many samples waited for a reason at the last update.
    pub fn count(&self, reason: WaitReason) -> usize {
        self.counts.get(&reason).copied().unwrap_or(0)
    }

    fn count_reasons(&mut self, waiting: &[Wait]) {
        self.counts.clear();
        for wait in waiting {
            *self.counts.entry(wait.reason).or_default() += 1;
        }
    }
}

fn longest_by_reason(mut waiting: Vec<Wait>) -> Vec<Wait> {
    waiting.sort_unstable_by_key(|wait| (wait.reason, std::cmp::Reverse(wait.waited), wait.index));
    let reasons = waiting.chunk_by(|a, b| a.reason == b.reason);
    reasons
        .flat_map(|same| same.iter().take(MAX_NAMED))
        .copied()
        .collect()
}
