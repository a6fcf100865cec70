//! What follows a failed attempt.

use kernel::Millis;

use crate::attempt::Ran;

/// Retries that each first attempt earns.
const EARN: f64 = 0.1;

/// Retries that may be saved up.
const SAVED: f64 = 10.0;

/// First pause before a retry; it doubles with each.
const FIRST: Millis = 10;

/// Longest pause before a retry.
const LONGEST: Millis = 1_000;

/// Attempts at one request, the first among them.
pub const ATTEMPTS: u32 = 4;

/// Bounds retries to a share of the traffic, so that they cannot multiply an outage.
///
/// # Examples
///
/// ```
/// use route::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let free = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(free, 10);
/// (0..100).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARN).min(SAVED);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn spend(&mut self) -> bool {
        // A little below one, so that ten sums of a tenth count as one.
        if self.saved < 0.999 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it may have run.
    pub ran: Ran,
    /// Whether running it twice does the same as running it once.
    pub idempotent: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// When the caller's deadline is.
    pub deadline: Millis,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It was tried [`ATTEMPTS`] times.
    Attempts,
    /// Its deadline would pass first.
    Deadline,
    /// The budget for retries is used up.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry after this many milliseconds.
    Retry(Millis),
    /// Give up.
    Stop(StopReason),
}

/// Decides what follows a failed attempt. `jitter` is a random number from 0 to 1.
pub fn decide(failure: Failure, budget: &mut RetryBudget, now: Millis, jitter: f64) -> Decision {
    if failure.ran == Ran::Unknown && !failure.idempotent {
        return Decision::Stop(StopReason::MayHaveRun);
    }
    if failure.attempts >= ATTEMPTS {
        return Decision::Stop(StopReason::Attempts);
    }
    let pause = pause(failure.attempts, jitter);
    if now + pause >= failure.deadline {
        return Decision::Stop(StopReason::Deadline);
    }
    if !budget.spend() {
        return Decision::Stop(StopReason::Budget);
    }
    Decision::Retry(pause)
}

/// A pause between half and all of a span that doubles with each attempt.
pub fn pause(attempts: u32, jitter: f64) -> Millis {
    let doubled = FIRST << attempts.saturating_sub(1).min(10);
    let span = doubled.min(LONGEST) as f64;
    (span * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Millis
}
