//! When an instance confirms at the platform that its configuration is the newest.
//!
//! Updates confirm the configuration of a follower. Each of its polls and reads has a time limit of its own, and their
//! sum has none. So the age of the configuration itself has a limit: an instance that has no confirmation at five eighths
//! of it reads the configuration alone, whatever else it waits for, and asks others that may have it.
//! Each instance makes at most one such read in that time, which bounds the reads of a thousand instances that lose
//! their sources together.

use kernel::Millis;
use kernel::rendezvous_rank;

/// Eighths of the limit at which an instance confirms its configuration: more than the interval between the reads of
/// the instance that reads for all, with time left for an answer from one that is slow.
const CONFIRM_PARTS: Millis = 5;

/// Sixteenths of the limit over which the instances spread, so that those that read first supply others.
const SPREAD_SIXTEENTHS: u64 = 1;

/// Pause after the first attempt that fails, in milliseconds: a single answer may have been lost. After each further
/// one an instance pauses for the age at which it confirms the configuration, so that an outage costs few calls.
const FIRST_PAUSE: Millis = 100;

/// Time limit of an attempt, in milliseconds: as long as a call of the platform may take.
pub const ATTEMPT_TIME: Millis = 1_000;

/// Time beyond [`ATTEMPT_TIME`] from which an attempt was held up at this instance, as by a pause, in milliseconds.
const STALL_TIME: Millis = 200;

/// What an instance does next about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmAction {
    /// Nothing for this long, in milliseconds.
    Wait(Millis),
    /// Confirm the configuration.
    Confirm,
}

/// How a request for which a configuration decides goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUse {
    /// By the configuration that is held.
    Held,
    /// By the configuration that is held once it is confirmed.
    Confirmed,
}

/// The confirmations of the configuration at an instance.
///
/// # Examples
///
/// ```
/// use spread::confirmation::{ConfigUse, ConfirmAction, Confirmation};
///
/// // A configuration has to be in force within two seconds.
/// let mut confirmation = Confirmation::new("e1", 2_000);
/// assert!(matches!(confirmation.next(Some(400), 10_000), ConfirmAction::Wait(_)));
/// assert_eq!(confirmation.next(Some(1_400), 10_000), ConfirmAction::Confirm);
/// assert_eq!(confirmation.config_use(Some(1_999), 10_000), ConfigUse::Held);
/// assert_eq!(confirmation.config_use(Some(2_000), 10_000), ConfigUse::Confirmed);
/// // Nobody answers: requests are served by what is held.
/// confirmation.failed(10_000, 10_700);
/// assert_eq!(confirmation.config_use(Some(2_700), 10_700), ConfigUse::Held);
/// ```
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// Time within which a configuration has to be in force, in milliseconds.
    limit: Millis,
    /// Age from which the configuration is confirmed, in milliseconds.
    due_age: Millis,
    /// Consecutive attempts that have failed.
    failures: u32,
    /// When the last one of them ended.
    failed_at: Millis,
    /// Time before which no attempt is made.
    paused_until: Millis,
    /// Whether the last attempt failed after it had been held up here.
    was_held_up: bool,
}

impl Confirmation {
    /// Creates the state of an instance, which spreads with its name. `limit` is the time within which a configuration
    /// has to be in force, in milliseconds.
    pub fn new(instance: &str, limit: Millis) -> Self {
        let spread = (limit * SPREAD_SIXTEENTHS / 16).max(1);
        Self {
            limit,
            due_age: limit * CONFIRM_PARTS / 8 + rendezvous_rank(instance, "confirm") % spread,
            failures: 0,
            failed_at: 0,
            paused_until: 0,
            was_held_up: false,
        }
    }

    /// Returns whether a configuration of this age has to be confirmed.
    pub fn is_due(&self, age: Option<Millis>) -> bool {
        age.is_none_or(|age| age >= self.due_age)
    }

    /// Returns whether the last attempt has failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns the age at which another instance's confirmation is worth waiting for, in milliseconds.
    pub fn wanted_age(&self) -> Millis {
        self.due_age / 2
    }

    /// Returns what to do about a configuration of this age; the age of an instance that has none counts from its
    /// start.
    pub fn next(&self, age: Option<Millis>, now: Millis) -> ConfirmAction {
        let age = age.unwrap_or(now);
        let wait = self.due_age.saturating_sub(age);
        match wait.max(self.paused_until.saturating_sub(now)) {
            0 => ConfirmAction::Confirm,
            wait => ConfirmAction::Wait(wait),
        }
    }

    /// Records that the configuration was confirmed.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.paused_until = 0;
        self.was_held_up = false;
    }

    /// Records that an attempt which began at `began` has failed. One that was held up here proves nothing and is
    /// repeated at once, as after a pause. If the next one is held up as well, the instance lacks processor time, and
    /// requests must not wait for further ones.
    pub fn failed(&mut self, began: Millis, now: Millis) {
        let is_held_up = now.saturating_sub(began) > ATTEMPT_TIME + STALL_TIME;
        if is_held_up && !std::mem::replace(&mut self.was_held_up, true) {
            return;
        }
        let pause = match self.has_failed() {
            true => self.due_age,
            false => FIRST_PAUSE,
        };
        self.failures += 1;
        self.failed_at = now;
        self.paused_until = now + pause;
    }

    /// Returns whether a request may be handled by a configuration of this age as it is.
    ///
    /// At the limit a newer one may have been acknowledged long enough ago. It makes sense to wait for a confirmation
    /// unless a recent attempt has shown that nobody can give it: an instance that reaches nobody goes on serving.
    pub fn config_use(&self, age: Option<Millis>, now: Millis) -> ConfigUse {
        let is_late = age.is_none_or(|age| age >= self.limit);
        let has_failed = self.has_failed() && now < self.failed_at + self.limit;
        match is_late && !has_failed {
            true => ConfigUse::Confirmed,
            false => ConfigUse::Held,
        }
    }
}
