//! The decisions on the attempts of the calls to one service.

use kernel::Millis;

use crate::Budget;
use crate::Latency;
use crate::Quantiles;

/// Most hedges at once, so that the first calls to an upstream that stops answering can be hedged.
const MAX_SAVED_HEDGES: f64 = 10.0;

/// Most retries at once: the calls that an instance may have at an upstream when that one crashes.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Divisor of the target latency that gives the shortest time to a hedge: its answer still comes well within the target,
/// and callers gain nothing from one that comes earlier.
const TARGET_DIVISOR: Millis = 4;

/// Part of the quantile that is added to the time to a hedge: the slow attempts that lose against hedges are not answered,
/// so the quantile of the answers is lower than that of the attempts.
const MARGIN_DIVISOR: Millis = 4;

/// Divisor of the timeout that gives the time to a hedge where nothing else is known.
const TIMEOUT_DIVISOR: Millis = 8;

/// Divisor of the time left that gives the shortest time limit of an attempt after which another one may follow.
const LIMIT_DIVISOR: Millis = 2;

/// Factor of the slowest answers' time that gives the time after which an upstream counts as silent.
const SILENCE_FACTOR: Millis = 2;

/// Divisor of a service's slots that gives the least number of free ones for a hedge.
const ROOM_DIVISOR: u32 = 10;

/// What an operator may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Quantile of the answers' times after which another attempt may begin.
    pub hedge_quantile: f64,
    /// Hedges per call.
    pub hedge_share: f64,
    /// Retries of calls that may have run, per call.
    pub retry_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hedge_quantile: 0.97,
            hedge_share: 0.1,
            retry_share: 0.2,
        }
    }
}

/// What the route of a call asks for, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Time within which an answer is as useful as an immediate one.
    pub target: Option<Millis>,
    /// Longest time that callers wait.
    pub timeout: Millis,
}

/// Slots of a service's upstreams, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Free slots.
    pub free: u32,
    /// All slots.
    pub slots: u32,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The upstream has not executed it, so another one adds no work.
    NotExecuted,
    /// It may have been executed.
    Unknown,
}

/// Why no further attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It would not be answered in the time left.
    Late,
    /// The service's upstreams have little room.
    Room,
    /// The budget is spent.
    Budget,
}

impl Denial {
    /// Returns the reason as it is logged.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Late => "too late",
            Self::Room => "little room",
            Self::Budget => "budget spent",
        }
    }
}

/// Whether a further attempt may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Granted,
    /// It must not.
    Denied(Denial),
}

/// What is known of the attempts at one service, and their budgets.
///
/// # Examples
///
/// ```
/// use attempt::{Objective, Permission, Policy, Room, ServiceAttempts};
///
/// let mut service = ServiceAttempts::new(Policy::default());
/// let objective = Objective { target: Some(400), timeout: 10_000 };
/// // Nothing is known yet: the target decides.
/// assert_eq!(service.hedge_delay(objective, 0), 100);
/// (0..100).for_each(|_| service.answered(1_000, 0));
/// assert!(service.hedge_delay(objective, 200) >= 1_000);
/// let room = Room { free: 50, slots: 100 };
/// assert_eq!(service.hedge(9_000, room, 200), Permission::Granted);
/// ```
#[derive(Clone, Debug)]
pub struct ServiceAttempts {
    policy: Policy,
    latency: Latency,
    hedges: Budget,
    retries: Budget,
}

impl ServiceAttempts {
    /// Creates the state of a service of which nothing is known.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            latency: Latency::default(),
            hedges: Budget::new(policy.hedge_share, MAX_SAVED_HEDGES),
            retries: Budget::new(policy.retry_share, MAX_SAVED_RETRIES),
        }
    }

    /// Records a call that is sent for the first time.
    pub fn began(&mut self) {
        self.hedges.earn();
        self.retries.earn();
    }

    /// Records an attempt that was answered after so many milliseconds.
    pub fn answered(&mut self, took: Millis, now: Millis) {
        self.latency.record(took, now);
    }

    fn quantiles(&mut self, now: Millis) -> Option<Quantiles> {
        self.latency.quantiles(self.policy.hedge_quantile, now)
    }

    /// Returns the time after which another attempt may begin beside one, in milliseconds. Before anything is known, it is
    /// that after which a second answer of a quick service still meets the target.
    pub fn hedge_delay(&mut self, objective: Objective, now: Millis) -> Millis {
        let least = match objective.target {
            Some(target) => target / TARGET_DIVISOR,
            None => objective.timeout / TIMEOUT_DIVISOR,
        };
        let Some(known) = self.quantiles(now) else {
            return least;
        };
        let usual = known.hedge + known.hedge / MARGIN_DIVISOR;
        match objective.target {
            Some(_) => usual.max(least),
            None => usual,
        }
    }

    /// Decides whether another attempt begins beside one that runs, with `left` milliseconds until the deadline, and takes
    /// it from the budget.
    pub fn hedge(&mut self, left: Millis, room: Room, now: Millis) -> Permission {
        if self.is_late(left, now) {
            return Permission::Denied(Denial::Late);
        }
        if room.free.saturating_mul(ROOM_DIVISOR) < room.slots {
            return Permission::Denied(Denial::Room);
        }
        match self.hedges.spend() {
            true => Permission::Granted,
            false => Permission::Denied(Denial::Budget),
        }
    }

    /// Decides whether another attempt follows one that has failed, and takes it from the budget if that one may have been
    /// executed.
    pub fn retry(&mut self, failure: Failure, left: Millis, now: Millis) -> Permission {
        if self.is_late(left, now) {
            return Permission::Denied(Denial::Late);
        }
        match failure == Failure::NotExecuted || self.retries.spend() {
            true => Permission::Granted,
            false => Permission::Denied(Denial::Budget),
        }
    }

    /// Returns whether an attempt that begins now will hardly be answered in the time left.
    fn is_late(&mut self, left: Millis, now: Millis) -> bool {
        let known = self.quantiles(now);
        left == 0 || known.is_some_and(|known| left < known.fastest)
    }

    /// Returns the time limit of an attempt after which another one may follow, with `left` milliseconds until the deadline.
    ///
    /// An attempt ends early only once its upstream counts as silent, and while enough time is left for another one: one that
    /// works on is likelier to answer in time than one that begins then.
    pub fn time_limit(&mut self, left: Millis, now: Millis) -> Millis {
        let half = left / LIMIT_DIVISOR;
        let Some(known) = self.quantiles(now) else {
            return half;
        };
        let limit = half.max(SILENCE_FACTOR * known.slowest);
        match limit + known.slowest <= left {
            true => limit,
            false => left,
        }
    }
}
