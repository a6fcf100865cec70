//! How long the owner of a step may start samples after the step was last known to be open.
//!
//! A step may be ended at any instance, so its owner may start samples only for a limited time
//! after the platform confirmed that the step is open. While no instance reaches the platform, no
//! end of a step can be acknowledged, and the step continues.

use kernel::Millis;

/// Fraction of the time within which the end of a step takes effect during which a confirmation
/// lets samples start. The rest covers samples already started: opening a connection and network
/// latency.
const PERMIT_FRACTION: (Millis, Millis) = (2, 3);

/// Fraction of that time after which the platform is asked again: a confirmation from the first
/// answer, or from a second one half a second later, arrives before the previous one expires.
const CHECK_FRACTION: (Millis, Millis) = (3, 10);

/// Fraction of that time after which an unanswered check is repeated.
const RETRY_FRACTION: (Millis, Millis) = (1, 10);

/// The last confirmation that a step owned by this instance is open.
///
/// # Examples
///
/// ```
/// use batch::Confirmation;
///
/// let mut confirmation = Confirmation::new(3_000, 100);
/// let permit = confirmation.permit(1_000).unwrap();
/// assert_eq!(permit.deadline(), 2_100);
/// assert!(confirmation.permit(2_100).is_none());
/// assert!(!confirmation.is_check_due(900));
/// assert!(confirmation.is_check_due(1_000));
///
/// confirmation.confirm(2_050);
/// assert!(confirmation.permit(2_100).is_some());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// Time within which the end of a step takes effect.
    end_bound: Millis,
    /// When the last check that found the step open was sent.
    confirmed_at: Millis,
    /// When the last check during which no instance reached the platform was sent.
    outage_at: Option<Millis>,
    /// When the last check was sent.
    checked_at: Millis,
}

/// Permission to start samples of a step that is known to be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    deadline: Millis,
}

impl Permit {
    /// The time before which a started sample must be sent.
    pub fn deadline(self) -> Millis {
        self.deadline
    }
}

impl Confirmation {
    /// Creates the confirmation of a step that a check sent at `confirmed_at` found open, where
    /// the end of a step takes effect within `end_bound` milliseconds.
    pub fn new(end_bound: Millis, confirmed_at: Millis) -> Self {
        Self {
            end_bound,
            confirmed_at,
            outage_at: None,
            checked_at: confirmed_at,
        }
    }

    fn fraction(&self, (part, of): (Millis, Millis)) -> Millis {
        self.end_bound * part / of
    }

    /// Records that a check sent at `asked` found the step open.
    pub fn confirm(&mut self, asked: Millis) {
        self.confirmed_at = self.confirmed_at.max(asked);
    }

    /// Records that neither this instance nor others reached the platform with a check sent at
    /// `asked`.
    pub fn record_outage(&mut self, asked: Millis) {
        self.outage_at = self.outage_at.max(Some(asked));
    }

    /// When the last check that found the step open was sent.
    pub fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// The last time at which the step cannot have been ended, as far as this instance knows.
    fn last_open(&self) -> Millis {
        self.outage_at.unwrap_or(0).max(self.confirmed_at)
    }

    /// Returns a permit to start samples now, or [`None`] when the step may have ended meanwhile.
    pub fn permit(&self, now: Millis) -> Option<Permit> {
        let deadline = self.last_open() + self.fraction(PERMIT_FRACTION);
        (now < deadline).then_some(Permit { deadline })
    }

    /// Returns whether the platform has to be asked now.
    pub fn is_check_due(&self, now: Millis) -> bool {
        now >= self.last_open() + self.fraction(CHECK_FRACTION)
            && now >= self.checked_at + self.fraction(RETRY_FRACTION)
    }

    /// Records that a check is sent now.
    pub fn start_check(&mut self, now: Millis) {
        self.checked_at = now;
    }
}
