//! What follows from a scorer's answer.
//!
//! Load pattern: the samples of a step become whole over seconds, dozens of them within one, and each
//! wants a score of a plain service whose places callers use as well. A few requests fail always, and
//! for seconds no upstream of the service may be there, so that many samples wait at the same time.

use std::sync::Arc;

use kernel::Millis;

/// Pause after the first answer that says nothing of the sample: about the time in which a place of a
/// plain service becomes free.
const SHORTEST: Millis = 25;

/// Longest pause between two tries. With all upstreams of a service gone for seconds, the samples that
/// wait look for a free place this often, which costs no message while there is none.
const LONGEST: Millis = 400;

/// Doublings after which the pause is the longest.
const DOUBLINGS: u32 = 4;

/// What came of asking for a score once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole success, with its signature.
    Scored(Arc<str>),
    /// The scorer itself says that it failed at this sample.
    Failed,
    /// Anything else: cut, late, garbled or unsigned answers, other failures, no upstream with a free
    /// place. It says nothing of the sample.
    Inconclusive,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The sample has this score.
    Score(Arc<str>),
    /// The sample cannot be scored and has failed.
    Fail,
    /// Ask again after this pause.
    Retry(Millis),
}

/// The tries to get the score of one sample.
///
/// Only the scorer's own failures count against a sample, and they follow each other at once: a sample
/// that can never be scored must not hold its group up. Everything else is tried again until the step
/// gives the sample up, with growing pauses.
///
/// # Examples
///
/// ```
/// use batch::score::{AttemptResult, Decision, Retries};
///
/// let mut tries = Retries::new(2);
/// assert_eq!(tries.decide(AttemptResult::Inconclusive), Decision::Retry(25));
/// assert_eq!(tries.decide(AttemptResult::Inconclusive), Decision::Retry(50));
/// assert_eq!(tries.decide(AttemptResult::Failed), Decision::Retry(0));
/// assert_eq!(tries.decide(AttemptResult::Failed), Decision::Fail);
/// ```
#[derive(Clone, Debug)]
pub struct Retries {
    most: u32,
    failures: u32,
    pauses: u32,
}

impl Retries {
    /// Makes the tries of a sample that has failed after `most` failures of the scorer.
    pub fn new(most: u32) -> Self {
        Self {
            most: most.max(1),
            failures: 0,
            pauses: 0,
        }
    }

    /// Lets the scorer fail as often as a route allows that is in force now; never less often than one
    /// before. When no configuration had the route at the first try, the sample was given up too early.
    pub fn raise_limit(&mut self, most: u32) {
        self.most = self.most.max(most);
    }

    /// Says what follows from an answer.
    pub fn decide(&mut self, answer: AttemptResult) -> Decision {
        match answer {
            AttemptResult::Scored(signature) => Decision::Score(signature),
            AttemptResult::Failed => self.fail(),
            AttemptResult::Inconclusive => self.pause(),
        }
    }

    fn fail(&mut self) -> Decision {
        self.failures += 1;
        self.pauses = 0;
        match self.failures < self.most {
            true => Decision::Retry(0),
            false => Decision::Fail,
        }
    }

    fn pause(&mut self) -> Decision {
        let pause = SHORTEST << self.pauses.min(DOUBLINGS);
        self.pauses += 1;
        Decision::Retry(pause.min(LONGEST))
    }
}
