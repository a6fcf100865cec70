//! Which versions of a model's weights are worth having.
//!
//! A trainer's step accepts versions down to an oldest one, and each further step raises it by one.
//! A new version is announced in the moment in which the next step is asked for. An engine that
//! loads begins no sample of that model for about a second, while those that run there go on. So an
//! engine whose version the new step accepts had better load a little later, when the samples of the
//! step have begun.

use std::cmp::max;
use std::collections::VecDeque;

use kernel::Millis;

use crate::Version;

/// Time after an announcement within which engines whose version still does are left alone, in
/// milliseconds: by then the samples of the step have begun that came with the announcement.
const BURST: Millis = 1_200;

/// Steps over which the mean of their work is taken. The work of one step differs by a third from that
/// of the next; with a mean over four engines went to and fro between models, and loaded each time.
const SMOOTH: u64 = 12;

/// Time within which steps that were opened may be open together, in milliseconds: no trainer waits much
/// longer for a step.
const TOGETHER: Millis = 10_000;

/// Steps that are remembered: more than a model's trainers have open together.
const STEPS: usize = 32;

/// The versions of one model that its engines should hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Newest announced version.
    pub newest: Version,
    /// Oldest version that the steps of the newest version accept.
    pub oldest: Version,
    /// When the newest version was announced.
    pub announced_at: Millis,
    /// Whether engines whose version is still accepted should load the newest one now.
    pub refresh_accepted: bool,
    /// Mean work of the model's steps, in a unit shared by all models; 0 while no step is known.
    pub work: u64,
    /// Samples that may have to run concurrently; 0 while no step is known.
    pub concurrent_samples: u64,
}

/// What is known of the wishes of one model's trainers.
///
/// # Examples
///
/// ```
/// use weight::Demand;
///
/// let mut demand = Demand::default();
/// demand.record_announcement(7, 0);
/// // As long as no step is known, only the newest version will do.
/// assert_eq!(demand.target(0).oldest, 7);
/// demand.record_step(6, 2_000, 300, 50);
/// assert_eq!(demand.target(100).oldest, 6);
/// demand.record_announcement(8, 4_000);
/// assert_eq!(demand.target(4_000).oldest, 7);
/// // The step's samples have begun a little later.
/// assert!(!demand.target(4_000).refresh_accepted && demand.target(6_000).refresh_accepted);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    newest: Version,
    /// When it was announced.
    since: Millis,
    /// The highest of the oldest versions that steps accept.
    oldest: Option<Version>,
    /// By how many versions the newest step's oldest version was behind the newest version.
    lag: Version,
    /// The mean of what steps ask for.
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
        self.since = now;
        true
    }

    /// Records an opened step that accepts versions from `oldest` on. Each step must be recorded once, in
    /// the order in which the steps were opened.
    ///
    /// `work` is the total work that is expected of the step's `samples`; `opened_at` is when it was
    /// opened, on one clock for all steps.
    pub fn record_step(&mut self, oldest: Version, work: u64, samples: u64, opened_at: Millis) {
        self.steps.push_back((opened_at, samples));
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.work = match self.work {
            0 => work,
            mean => (mean * (SMOOTH - 1) + work) / SMOOTH,
        };
        if self.oldest.is_some_and(|known| known > oldest) {
            return;
        }
        self.oldest = Some(oldest);
        self.lag = self.newest.saturating_sub(oldest);
    }

    /// Samples that may have to run at the same time: those of the steps that may be open together, and
    /// twice those of the newest one at least, since a trainer asks for the next step while one is open.
    fn samples(&self) -> u64 {
        let Some((newest, last)) = self.steps.back() else {
            return 0;
        };
        let open = self
            .steps
            .iter()
            .filter(|(at, _)| newest.saturating_sub(*at) < TOGETHER);
        let together: u64 = open.map(|(_, samples)| samples).sum();
        together.max(2 * last)
    }

    /// Returns the versions that the model's engines should hold at `now`.
    pub fn target(&self, now: Millis) -> Target {
        let expected = self.newest.saturating_sub(self.lag);
        Target {
            newest: self.newest,
            oldest: max(expected, self.oldest.unwrap_or(0)),
            announced_at: self.since,
            refresh_accepted: now >= self.since + BURST,
            work: self.work,
            concurrent_samples: self.samples(),
        }
    }
}
