//! Retries of scoring requests.
//!
//! Load pattern: the samples of a step complete over seconds, dozens of them within one second, and
//! each needs a score from a plain service whose slots are also used by callers. A few requests
//! always fail, and for seconds the service may have no upstream, so many samples wait at once.

use std::sync::Arc;

use kernel::Millis;

/// Pause after the first inconclusive attempt: about the time until a slot of a plain service
/// becomes free.
const MIN_PAUSE: Millis = 25;

/// Longest pause between two attempts. While a service has no upstream for seconds, waiting samples
/// look for a free slot this often, which sends no message as long as there is none.
const MAX_PAUSE: Millis = 400;

/// Number of doublings after which the pause has reached its maximum.
const MAX_DOUBLINGS: u32 = 4;

/// Result of one attempt to get a score.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The scorer answered completely and successfully, with this signature.
    Scored(Arc<str>),
    /// The scorer itself reported that it failed on this sample.
    Failed,
    /// Anything else: a truncated, late, malformed or unsigned answer, another failure, or no
    /// upstream with a free slot. It says nothing about the sample.
    Inconclusive,
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Accept this score.
    Score(Arc<str>),
    /// Give up: the sample cannot be scored and counts as failed.
    Fail,
    /// Retry after this pause.
    Retry(Millis),
}

/// Attempts to get the score of one sample.
///
/// Only failures reported by the scorer count against a sample, and they are retried without a
/// pause: a sample that can never be scored must not hold up its group. Everything else is retried
/// with growing pauses until the step gives the sample up.
///
/// # Examples
///
/// ```
/// use batch::score::{AttemptResult, Decision, Retries};
///
/// let mut retries = Retries::new(2);
/// assert_eq!(retries.decide(AttemptResult::Inconclusive), Decision::Retry(25));
/// assert_eq!(retries.decide(AttemptResult::Inconclusive), Decision::Retry(50));
/// assert_eq!(retries.decide(AttemptResult::Failed), Decision::Retry(0));
/// assert_eq!(retries.decide(AttemptResult::Failed), Decision::Fail);
/// ```
#[derive(Clone, Debug)]
pub struct Retries {
    max_failures: u32,
    failures: u32,
    pauses: u32,
}

impl Retries {
    /// Creates the retries of a sample that fails after `max_failures` failures of the scorer.
    pub fn new(max_failures: u32) -> Self {
        Self {
            max_failures: max_failures.max(1),
            failures: 0,
            pauses: 0,
        }
    }

    /// Raises the number of allowed failures to that of the current route; never lowers it. If no
    /// configuration had the route at the first attempt, the initial limit would give the sample
    /// up too early.
    pub fn raise_limit(&mut self, max_failures: u32) {
        self.max_failures = self.max_failures.max(max_failures);
    }

    /// Decides what to do after an attempt.
    pub fn decide(&mut self, result: AttemptResult) -> Decision {
        match result {
            AttemptResult::Scored(signature) => Decision::Score(signature),
            AttemptResult::Failed => self.fail(),
            AttemptResult::Inconclusive => self.pause(),
        }
    }

    fn fail(&mut self) -> Decision {
        self.failures += 1;
        self.pauses = 0;
        match self.failures < self.max_failures {
            true => Decision::Retry(0),
            false => Decision::Fail,
        }
    }

    fn pause(&mut self) -> Decision {
        let pause = MIN_PAUSE << self.pauses.min(MAX_DOUBLINGS);
        self.pauses += 1;
        Decision::Retry(pause.min(MAX_PAUSE))
    }
}
