//! Retry decisions after a failed attempt.

use kernel::Millis;

use crate::attempt::Ran;

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Most retries that the budget holds.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Backoff before the first retry in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: Millis = 10;

const MAX_BACKOFF_MS: Millis = 1_000;

/// Most attempts at one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// Limits retries to a share of the traffic, so that they cannot amplify an outage.
///
/// # Examples
///
/// ```
/// use route::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let initial = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(initial, 10);
/// (0..100).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget. Returns false when it holds none.
    pub fn spend(&mut self) -> bool {
        // Slightly below 1, since adding 0.1 ten times may give less than 1 in floating point.
        if self.saved < 0.999 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// A failed attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it may have been executed.
    pub ran: Ran,
    /// Whether executing the request twice has the same effect as executing it once.
    pub idempotent: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Deadline of the caller.
    pub deadline: Millis,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It may have been executed and is not idempotent.
    MayHaveRun,
    /// It was attempted [`MAX_ATTEMPTS`] times.
    Attempts,
    /// Its deadline would pass first.
    Deadline,
    /// The retry budget is exhausted.
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

/// Decides whether to retry after a failed attempt. `jitter` is a random number from 0 to 1.
pub fn decide(failure: Failure, budget: &mut RetryBudget, now: Millis, jitter: f64) -> Decision {
    if failure.ran == Ran::Unknown && !failure.idempotent {
        return Decision::Stop(StopReason::MayHaveRun);
    }
    if failure.attempts >= MAX_ATTEMPTS {
        return Decision::Stop(StopReason::Attempts);
    }
    let backoff = backoff(failure.attempts, jitter);
    if now + backoff >= failure.deadline {
        return Decision::Stop(StopReason::Deadline);
    }
    if !budget.spend() {
        return Decision::Stop(StopReason::Budget);
    }
    Decision::Retry(backoff)
}

/// Returns a backoff with jitter: between half of and the whole of a span that doubles with each attempt,
/// up to `MAX_BACKOFF_MS`.
pub fn backoff(attempts: u32, jitter: f64) -> Millis {
    let doubled = FIRST_BACKOFF_MS << attempts.saturating_sub(1).min(10);
    let span = doubled.min(MAX_BACKOFF_MS) as f64;
    (span * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Millis
}
