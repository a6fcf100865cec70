//! The versions of a model's weights that trainers demand.
//!
//! A trainer's step accepts versions down to an oldest one, and each further step raises it by one.
//! A new version is announced at the moment at which the next step is requested. While an engine
//! loads, it starts no sample of that model for about a second; its running samples continue. So an
//! engine whose version the new step accepts should load a little later, when the samples of the
//! step have begun.

use std::cmp::max;
use std::collections::VecDeque;

use kernel::Millis;

use crate::Version;

/// Time after an announcement within which engines with an accepted version do not load, in
/// milliseconds. After it, the samples of the step requested with the announcement have started.
const SAMPLE_START_MS: Millis = 1_200;

/// Length in steps of the moving mean of the work. The work of consecutive steps differs by a third; with
/// a mean over 4 steps, engines moved back and forth between models and loaded each time.
const MEAN_STEPS: u64 = 12;

/// Time within which steps that were opened may be open together, in milliseconds: no trainer waits much
/// longer for a step.
const MAX_OVERLAP_MS: Millis = 10_000;

/// Maximum number of recent steps that are kept: more than a model's trainers have open together.
const MAX_STEPS: usize = 32;

/// The versions of one model that its engines should hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// The newest version that was announced.
    pub newest: Version,
    /// The oldest version that steps under the newest one accept.
    pub oldest: Version,
    /// When the newest version was announced.
    pub announced_at: Millis,
    /// Whether engines whose version is still accepted should load the newest one now.
    pub refresh_accepted: bool,
    /// Mean work of the model's steps, to be compared with that of other models; 0 while no step is known.
    pub work: u64,
    /// Samples that may have to run at the same time; 0 as long as no step is known.
    pub concurrent_samples: u64,
}

/// Demand for the versions of one model, derived from announcements and opened steps.
///
/// # Examples
///
/// ```
/// use weight::Demand;
///
/// let mut demand = Demand::default();
/// demand.record_announcement(7, 0);
/// // As long as no step is known, only the newest version is accepted.
/// assert_eq!(demand.target(0).oldest, 7);
/// demand.record_step(6, 2_000, 300, 50);
/// assert_eq!(demand.target(100).oldest, 6);
/// demand.record_announcement(8, 4_000);
/// assert_eq!(demand.target(4_000).oldest, 7);
/// // The step's samples have started a little later.
/// assert!(!demand.target(4_000).refresh_accepted && demand.target(6_000).refresh_accepted);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    newest: Version,
    /// When the newest version was announced.
    announced_at: Millis,
    /// Highest of the oldest versions that the steps accept.
    oldest: Option<Version>,
    /// By how many versions the newest step's oldest version was behind the newest version.
    lag: Version,
    /// Moving mean of the work of the steps.
    work: u64,
    /// When the last steps were opened, and how many samples each has.
    steps: VecDeque<(Millis, u64)>,
}

impl Demand {
    /// Records an announced version. Returns whether it is newer than all before.
    pub fn record_announcement(&mut self, version: Version, now: Millis) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.announced_at = now;
        true
    }

    /// Records an opened step that accepts versions from `oldest` on. Each step must be recorded once, in
    /// the order in which the steps were opened.
    ///
    /// `work` is the total work that is expected of the step's `samples`; `opened_at` is when it was
    /// opened, on one clock for all steps.
    pub fn record_step(&mut self, oldest: Version, work: u64, samples: u64, opened_at: Millis) {
        self.steps.push_back((opened_at, samples));
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
        self.work = match self.work {
            0 => work,
            mean => (mean * (MEAN_STEPS - 1) + work) / MEAN_STEPS,
        };
        if self.oldest.is_some_and(|known| known > oldest) {
            return;
        }
        self.oldest = Some(oldest);
        self.lag = self.newest.saturating_sub(oldest);
    }

    /// Samples that may have to run at the same time: those of the steps that may be open together, and
    /// twice those of the newest one at least, since a trainer asks for the next step while one is open.
    fn concurrent_samples(&self) -> u64 {
        let Some((newest, last)) = self.steps.back() else {
            return 0;
        };
        let open = self
            .steps
            .iter()
            .filter(|(opened_at, _)| newest.saturating_sub(*opened_at) < MAX_OVERLAP_MS);
        let overlapping: u64 = open.map(|(_, samples)| samples).sum();
        overlapping.max(2 * last)
    }

    /// Returns the versions that the model's engines should hold at `now`.
    pub fn target(&self, now: Millis) -> Target {
        let accepted = self.newest.saturating_sub(self.lag);
        Target {
            newest: self.newest,
            oldest: max(accepted, self.oldest.unwrap_or(0)),
            announced_at: self.announced_at,
            refresh_accepted: now >= self.announced_at + SAMPLE_START_MS,
            work: self.work,
            concurrent_samples: self.concurrent_samples(),
        }
    }
}
