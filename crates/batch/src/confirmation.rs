//! Until when an instance that runs a step may begin samples of it.
//!
//! A step may be ended at any instance, so the one that runs it may begin a sample only for a while after
//! the platform has said that the step is open. While nobody reaches the platform nobody can have an end
//! acknowledged, and the step goes on.

use kernel::Millis;

/// Part of the time in which the end of a step has to be in force for which word of an open step lets samples
/// begin. The rest is for what has begun by then: a connection that is still opened, and the way.
const LASTS: (Millis, Millis) = (2, 3);

/// Part of that time after which the platform is asked: word that comes with the first answer, or with a second one
/// half a second later, comes before the last has lapsed.
const ASKED: (Millis, Millis) = (3, 10);

/// Part of that time after which a question that has no answer is asked once more.
const AGAIN: (Millis, Millis) = (1, 10);

/// Word of a step that is run here.
///
/// # Examples
///
/// ```
/// use batch::Confirmation;
///
/// let mut word = Confirmation::new(3_000, 100);
/// let permit = word.permit(1_000).unwrap();
/// assert_eq!(permit.until(), 2_100);
/// assert!(word.permit(2_100).is_none());
/// assert!(!word.is_due(900));
/// assert!(word.is_due(1_000));
///
/// word.hear(2_050);
/// assert!(word.permit(2_100).is_some());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// Time in which the end of a step has to be in force.
    bound: Millis,
    /// When the platform was last asked that said that the step is open.
    heard: Millis,
    /// When nobody reached the platform.
    away: Option<Millis>,
    /// When it was last asked.
    asked: Millis,
}

/// Leave to begin samples of a step, which is known to be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Millis,
}

impl Permit {
    /// The time by which what is begun has to be sent.
    pub fn until(self) -> Millis {
        self.until
    }
}

impl Confirmation {
    /// Makes the word of a step that was open when the platform was asked at a time, where the end of a step has to
    /// be in force within `bound` milliseconds.
    pub fn new(bound: Millis, heard: Millis) -> Self {
        Self {
            bound,
            heard,
            away: None,
            asked: heard,
        }
    }

    fn part(&self, (part, of): (Millis, Millis)) -> Millis {
        self.bound * part / of
    }

    /// Notes that the step was open when the platform was asked.
    pub fn confirm(&mut self, asked: Millis) {
        self.heard = self.heard.max(asked);
    }

    /// Notes that neither this instance nor others reached the platform when they asked it.
    pub fn record_outage(&mut self, asked: Millis) {
        self.away = self.away.max(Some(asked));
    }

    /// When the platform was last asked that said that the step is open.
    pub fn confirmed_at(&self) -> Millis {
        self.heard
    }

    /// When nobody can have ended the step, as far as is known here.
    fn last(&self) -> Millis {
        self.away.unwrap_or(0).max(self.heard)
    }

    /// Leave to begin samples now; [`None`] when the step may have ended meanwhile.
    pub fn permit(&self, now: Millis) -> Option<Permit> {
        let until = self.last() + self.part(LASTS);
        (now < until).then_some(Permit { until })
    }

    /// Tells whether the platform is to be asked now.
    pub fn is_check_due(&self, now: Millis) -> bool {
        now >= self.last() + self.part(ASKED) && now >= self.asked + self.part(AGAIN)
    }

    /// Notes that the platform is asked.
    pub fn start_check(&mut self, now: Millis) {
        self.asked = now;
    }
}
