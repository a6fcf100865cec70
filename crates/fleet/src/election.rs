//! Election of the leader, which alone gives orders, by a record at the platform that the leader renews.
//!
//! The platform's leases are too slow for this. A restarted leader waits until the lease of its previous process has
//! expired, and a successor waits for the whole time in which the previous leader might still have given an order:
//! after a leader was killed or cut off, nothing was loaded for five to seven seconds. A platform may also end a lease
//! early while its holder still treats it as valid.
//!
//! Here the leader rewrites its record on condition that the record's revision is unchanged. A candidate that has seen
//! one revision for a while, without a failed read in between, replaces the record on condition of that revision,
//! which fails if the leader has renewed it. From when it first saw the revision, the candidate knows for how long the
//! previous leader can have continued, and waits no longer than that. A leader that restarts on the same machine finds
//! its own record and need not wait.
//!
//! Times are those of a monotonic clock that continues while the process is paused.

use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::FencingToken;

/// Interval between renewals, in milliseconds. Each is a write that counts against the platform's limits.
const RENEW_INTERVAL: Millis = 900;

/// Time after the last renewal was sent for which a leader gives orders, in milliseconds. One renewal may fail before
/// the leader stops.
const LEADER_TTL: Millis = 1_600;

/// Time for which a candidate must see one revision before it replaces the record, in milliseconds: two renewals and
/// half a second for a slow platform.
const TAKEOVER_AFTER: Millis = 2_400;

/// Allowance for the time that an order takes to arrive and for clock drift, in milliseconds.
const MARGIN: Millis = 300;

/// The revision that stands for a missing record.
const MISSING_REV: i64 = 0;

/// Identifies a process by its machine and its start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProcessId {
    /// Address of the machine; a name may be assigned to another machine later.
    pub machine: Arc<str>,
    /// Distinguishes the starts of the process.
    pub start: u64,
}

/// The leader's record at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The leader.
    pub leader: ProcessId,
    /// Phase of its leadership.
    pub phase: Phase,
}

/// Phase of a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// The leader waits until its predecessors can no longer give orders.
    Waiting,
    /// The leader may give orders.
    Ordering,
    /// The leader has stopped giving orders.
    Resigned,
}

/// What a candidate does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Read the record again after a while.
    Wait,
    /// Write this record on condition that the current one has this revision; 0 stands for no record.
    Claim(i64, Record),
}

/// A candidate's observation of one revision of the record.
#[derive(Clone, Copy, Debug)]
struct Observation {
    rev: i64,
    since: Millis,
    /// Time since which no read has failed.
    reads_ok_since: Millis,
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
/// // There has never been a leader, so it claims the leadership at once.
/// let CandidateAction::Claim(0, _) = candidate.observe(None, 100) else { panic!() };
/// let leader = candidate.won(5, 100);
/// assert!(leader.may_order(200));
/// // Its renewals fail.
/// assert!(!leader.may_order(2_000));
/// ```
#[derive(Debug)]
pub struct Candidate {
    me: ProcessId,
    /// Minimum time between orders of two machines, in milliseconds.
    exclusion: Millis,
    observation: Option<Observation>,
    /// When orders may begin if this candidate wins.
    orders_from: Millis,
}

impl Candidate {
    /// Makes a candidate. Orders of two machines must be at least `exclusion` milliseconds apart.
    pub fn new(me: ProcessId, exclusion: Millis) -> Self {
        Self {
            me,
            exclusion,
            observation: None,
            orders_from: 0,
        }
    }

    fn claim(&self, rev: i64) -> CandidateAction {
        let record = Record {
            leader: self.me.clone(),
            phase: Phase::Waiting,
        };
        CandidateAction::Claim(rev, record)
    }

    /// Processes the result of a read of the record and its revision that was sent at `now`.
    pub fn observe(&mut self, found: Option<(&Record, i64)>, now: Millis) -> CandidateAction {
        let Some((record, rev)) = found else {
            self.orders_from = self.without_record(now);
            return self.claim(MISSING_REV);
        };
        let seen = match self.observation {
            Some(seen) if seen.rev == rev => seen,
            _ => Observation {
                rev,
                since: now,
                reads_ok_since: now,
            },
        };
        self.observation = Some(seen);
        if record.leader == self.me {
            // An earlier write of its own whose reply was lost. The time from which it may give orders stays the same.
            return self.claim(rev);
        }
        let same_machine = record.leader.machine == self.me.machine;
        self.orders_from = match record.phase {
            // The previous process on this machine, which has ended.
            Phase::Ordering | Phase::Resigned if same_machine => now + MARGIN,
            Phase::Resigned => seen.since + self.exclusion + MARGIN,
            // A leader in phase Waiting gave no orders, but its predecessors may have done so until a moment ago.
            Phase::Ordering | Phase::Waiting => seen.since + LEADER_TTL + self.exclusion + MARGIN,
        };
        let has_stopped = same_machine || record.phase == Phase::Resigned;
        match has_stopped || now >= seen.reads_ok_since + TAKEOVER_AFTER {
            true => self.claim(rev),
            false => CandidateAction::Wait,
        }
    }

    /// When orders may begin while there is no record. If a record was removed, its leader may not have noticed yet.
    fn without_record(&mut self, now: Millis) -> Millis {
        let Some(seen) = &mut self.observation else {
            return now;
        };
        if seen.rev != MISSING_REV {
            *seen = Observation {
                rev: MISSING_REV,
                since: now,
                reads_ok_since: now,
            };
        }
        seen.since + LEADER_TTL + self.exclusion + MARGIN
    }

    /// Records that a read failed. The leader may be as unable to renew as this candidate is to read, so its time
    /// starts again.
    pub fn read_failed(&mut self, now: Millis) {
        if let Some(seen) = &mut self.observation {
            seen.reads_ok_since = now;
        }
    }

    /// Records that its record was written at a revision by a request sent at `sent`.
    pub fn won(self, rev: i64, sent: Millis) -> Leader {
        Leader {
            me: self.me,
            orders_from: self.orders_from,
            fencing_token: FencingToken(rev),
            rev,
            renewed: sent,
        }
    }
}

/// The instance that gives orders.
#[derive(Debug)]
pub struct Leader {
    me: ProcessId,
    orders_from: Millis,
    fencing_token: FencingToken,
    rev: i64,
    renewed: Millis,
}

impl Leader {
    /// Returns whether an order may be given now. Call it before each order, and not once for several.
    pub fn may_order(&self, now: Millis) -> bool {
        self.orders_from <= now && now < self.order_deadline()
    }

    /// The time before which an order that may be given now must be sent.
    pub fn order_deadline(&self) -> Millis {
        self.renewed + LEADER_TTL
    }

    /// The fencing token of its orders; a later leader always has a higher one.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The revision of its record.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// Returns whether the record has to be renewed.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        now >= self.renewed + RENEW_INTERVAL
    }

    /// The record to write now.
    pub fn record(&self, now: Millis) -> Record {
        Record {
            leader: self.me.clone(),
            phase: match self.orders_from <= now {
                true => Phase::Ordering,
                false => Phase::Waiting,
            },
        }
    }

    /// The record by which it resigns; it gives no orders afterwards.
    pub fn resign(self, now: Millis) -> Record {
        let phase = match self.orders_from <= now {
            true => Phase::Resigned,
            // It never gave orders, but its predecessors may have done so until a moment ago.
            false => Phase::Waiting,
        };
        Record {
            leader: self.me,
            phase,
        }
    }

    /// Returns whether a record is its own.
    pub fn owns(&self, record: &Record) -> bool {
        record.leader == self.me
    }

    /// Records that its record has a revision, written by a request sent at `sent` or later.
    pub fn renewed(&mut self, rev: i64, sent: Millis) {
        self.rev = rev;
        self.renewed = self.renewed.max(sent);
    }
}
