//! Who gives orders, decided by a record at the platform that its leader renews.
//!
//! What goes wrong with a lease of the platform's: a restarted leader waits until the lease of its
//! former process has lapsed, and a successor waits the whole time in which the former one might
//! have ordered once more; on days with a killed or cut off leader nothing was loaded for five to
//! seven seconds. And a platform may end a lease early, while its holder still believes in it.
//!
//! Here the leader rewrites its record under the record's own revision. A candidate that has seen
//! one revision for a while, in reads that did not fail meanwhile, replaces the record under that
//! revision, which fails if the leader has renewed it. It knows from when it first saw the revision
//! how long the former leader can have gone on, so it waits no longer than that. A leader that is
//! restarted on the same machine finds its own record, and need not wait for anybody.
//!
//! Time is that of a monotonic clock that goes on while the process is paused.

use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::FencingToken;

/// Time between two renewals, in milliseconds: each is a write that the platform counts.
const RENEW: Millis = 900;

/// Time after the last renewal was sent for which a leader gives orders, in milliseconds: one
/// renewal may fail before it stops.
const USE: Millis = 1_600;

/// Time for which a candidate has to see one revision before it replaces the record, in
/// milliseconds: two renewals and the half second of a slow platform.
const SILENT: Millis = 2_400;

/// Time that an order may take to arrive, and by which clocks may run apart, in milliseconds.
const MARGIN: Millis = 300;

/// The revision of a record that is not there.
const NONE: i64 = 0;

/// The machine on which a process runs, and which of its starts it is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProcessId {
    /// The machine, by its address: names may be given again to another machine.
    pub machine: Arc<str>,
    /// Which start of the process.
    pub start: u64,
}

/// The record at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The leader.
    pub leader: ProcessId,
    /// How far it is.
    pub phase: Phase,
}

/// How far a leader is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// It waits until those before it can give no orders any more.
    Waiting,
    /// It may give orders.
    Ordering,
    /// It gives none any more.
    Resigned,
}

/// What a candidate does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Read the record again after a while.
    Wait,
    /// Write this record if the present one still has this revision, which is 0 for none.
    Claim(i64, Record),
}

/// One revision of the record as a candidate sees it.
#[derive(Clone, Copy, Debug)]
struct Sight {
    rev: i64,
    since: Millis,
    /// Since when reads have not failed.
    steady: Millis,
}

/// An instance that may become the leader.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use fleet::election::{Candidate, CandidateAction, Record, ProcessId};
///
/// let process = |machine: &str, start| ProcessId { machine: machine.into(), start };
/// let mut candidate = Candidate::new(process("10.0.0.1", 7), 3_000);
/// // Nobody has ever led: it stands at once.
/// let CandidateAction::Claim(0, _) = candidate.observe(None, 100) else { panic!() };
/// let leader = candidate.won(5, 100);
/// assert!(leader.may_order(200));
/// // Its renewals fail.
/// assert!(!leader.may_order(2_000));
/// ```
#[derive(Debug)]
pub struct Candidate {
    me: ProcessId,
    /// Time within which two machines must not both give orders, in milliseconds.
    turn: Millis,
    sight: Option<Sight>,
    /// When orders may begin, if it wins.
    from: Millis,
}

impl Candidate {
    /// Makes a candidate; two machines must not both give orders within `turn` milliseconds.
    pub fn new(me: ProcessId, turn: Millis) -> Self {
        Self {
            me,
            turn,
            sight: None,
            from: 0,
        }
    }

    fn stand(&self, rev: i64) -> CandidateAction {
        let record = Record {
            leader: self.me.clone(),
            phase: Phase::Waiting,
        };
        CandidateAction::Claim(rev, record)
    }

    /// Takes in a read of the record and its revision, which was sent at `now`.
    pub fn observe(&mut self, found: Option<(&Record, i64)>, now: Millis) -> CandidateAction {
        let Some((record, rev)) = found else {
            self.from = self.without_record(now);
            return self.stand(NONE);
        };
        let sight = match self.sight {
            Some(sight) if sight.rev == rev => sight,
            _ => Sight {
                rev,
                since: now,
                steady: now,
            },
        };
        self.sight = Some(sight);
        if record.leader == self.me {
            // An earlier write of its own whose answer was lost; what it waits for stays the same.
            return self.stand(rev);
        }
        let mine = record.leader.machine == self.me.machine;
        self.from = match record.phase {
            // Its own former process, which is gone.
            Phase::Ordering | Phase::Resigned if mine => now + MARGIN,
            Phase::Resigned => sight.since + self.turn + MARGIN,
            // One that had not begun: those before it may have ordered until a moment ago.
            Phase::Ordering | Phase::Waiting => sight.since + USE + self.turn + MARGIN,
        };
        let gone = mine || record.phase == Phase::Resigned;
        match gone || now >= sight.steady + SILENT {
            true => self.stand(rev),
            false => CandidateAction::Wait,
        }
    }

    /// When orders may begin while there is no record. Where there was one its leader may not have noticed yet.
    fn without_record(&mut self, now: Millis) -> Millis {
        let Some(sight) = &mut self.sight else {
            return now;
        };
        if sight.rev != NONE {
            *sight = Sight {
                rev: NONE,
                since: now,
                steady: now,
            };
        }
        sight.since + USE + self.turn + MARGIN
    }

    /// Notes that a read failed: the leader may be as unable to renew as this one is to read, and
    /// gets its time once more.
    pub fn read_failed(&mut self, now: Millis) {
        if let Some(sight) = &mut self.sight {
            sight.steady = now;
        }
    }

    /// Notes that its record was written at a revision, by a request sent at `sent`.
    pub fn won(self, rev: i64, sent: Millis) -> Leader {
        Leader {
            me: self.me,
            from: self.from,
            fence: FencingToken(rev),
            rev,
            renewed: sent,
        }
    }
}

/// The instance that gives orders.
#[derive(Debug)]
pub struct Leader {
    me: ProcessId,
    from: Millis,
    fence: FencingToken,
    rev: i64,
    renewed: Millis,
}

impl Leader {
    /// Tells whether an order may be given now. Ask before each order, not once for many.
    pub fn may_order(&self, now: Millis) -> bool {
        self.from <= now && now < self.renewed + USE
    }

    /// The fencing number of its orders; a later leader always has a higher one.
    pub fn fencing_token(&self) -> FencingToken {
        self.fence
    }

    /// The revision of its record.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// Tells whether the record is to be renewed.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        now >= self.renewed + RENEW
    }

    /// The record that it writes now.
    pub fn record(&self, now: Millis) -> Record {
        Record {
            leader: self.me.clone(),
            phase: match self.from <= now {
                true => Phase::Ordering,
                false => Phase::Waiting,
            },
        }
    }

    /// The record with which it gives its office up; it gives no order after this.
    pub fn resign(self, now: Millis) -> Record {
        let phase = match self.from <= now {
            true => Phase::Resigned,
            // It never began, and those before it may have ordered until a moment ago.
            false => Phase::Waiting,
        };
        Record {
            leader: self.me,
            phase,
        }
    }

    /// Tells whether a record is its own.
    pub fn owns(&self, record: &Record) -> bool {
        record.leader == self.me
    }

    /// Notes that its record is at a revision, by a request sent at `sent` or later.
    pub fn renewed(&mut self, rev: i64, sent: Millis) {
        self.rev = rev;
        self.renewed = self.renewed.max(sent);
    }
}
