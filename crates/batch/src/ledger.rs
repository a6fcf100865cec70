//! What the owner of a step knows of it.

use kernel::Millis;

use crate::DraftDelta;
use crate::Entry;
use crate::Groups;

/// Most bytes of text in one segment: platforms take values of up to a megabyte, which base64
/// makes a third longer.
const SEGMENT: usize = 512 << 10;

/// Time between two writes of what samples have gained when no results come, in milliseconds. It is what
/// a kill costs the longest samples of a step at most, beside the time until somebody goes on with it;
/// a write a second for the few seconds of a step in which only long samples run.
const KEEP: Millis = 800;

/// Results that are written together under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its number among the segments of its step; what is kept of samples stands under it.
    pub seq: u32,
    /// The position of its first result; its results stand under it.
    pub first: u32,
    /// Its results, in the order of their positions; there may be none.
    pub entries: Vec<Entry>,
    /// What samples that are not whole have gained since the segment before.
    pub deltas: Vec<DraftDelta>,
}

/// What the owner does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this segment, under the condition that its key does not exist.
    Write(Segment),
    /// Wait until this time, or until another sample has ended.
    Wait(Millis),
    /// Nothing is waiting to be written.
    Idle,
}

/// The results of one step, as its owner knows them.
///
/// A position is given by the write that lists it, so it never changes. A segment whose write may
/// or may not have taken effect is offered again unchanged until it is known to be there: other
/// content under the same position would let two readers see different results there.
///
/// # Examples
///
/// ```
/// use batch::{Entry, Ledger, Outcome, ledger::Action};
///
/// let names: Vec<_> = (0..7).map(|_| "a".into()).collect();
/// let mut ledger = Ledger::new(batch::Groups::new(names.iter(), 1), 100);
/// let entry = Entry {
///     index: 1, id: "b".into(), outcome: Outcome::Completed, text: "x".into(), versions: vec![3],
///     score: None,
/// };
/// assert!(ledger.finish(entry.clone(), 0));
/// assert!(!ledger.finish(entry, 0));
/// assert_eq!(ledger.next_action(50, |_| Vec::new()), Action::Wait(100));
/// let Action::Write(segment) = ledger.next_action(100, |_| Vec::new()) else { panic!() };
/// assert_eq!(ledger.next_action(200, |_| Vec::new()), Action::Write(segment));
/// ledger.mark_written();
/// assert_eq!(ledger.listed().len(), 1);
/// ```
#[derive(Debug)]
pub struct Ledger {
    gather: Millis,
    groups: Groups,
    ended: Vec<bool>,
    listed: Vec<Entry>,
    waiting: Vec<Entry>,
    since: Millis,
    /// Whether the trainer can go on with one of those that wait.
    urgent: bool,
    segment: Option<Segment>,
    seq: u32,
    /// When the last segment was made.
    made: Millis,
}

impl Ledger {
    /// Makes the ledger of a step, which writes results together that come within `gather`
    /// milliseconds, except for those with which the trainer can go on.
    pub fn new(groups: Groups, gather: Millis) -> Self {
        Self {
            gather,
            ended: vec![false; groups.samples()],
            groups,
            listed: Vec::new(),
            waiting: Vec::new(),
            since: 0,
            urgent: false,
            segment: None,
            seq: 0,
            made: 0,
        }
    }

    /// Takes in a segment that an owner before has written; they come in order.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            if self.mark(entry.index) {
                self.groups.end(entry.index);
            }
        }
        self.listed.extend(entries);
    }

    /// Goes on with a number for the next segment that no earlier owner has used.
    pub fn set_next_seq(&mut self, seq: u32) {
        self.seq = seq;
    }

    /// Marks a sample as ended; tells whether it was not before.
    fn mark(&mut self, index: u32) -> bool {
        match self.ended.get_mut(index as usize) {
            Some(ended) => !std::mem::replace(ended, true),
            None => false,
        }
    }

    /// Takes in the result of a sample; tells whether it is the first one.
    pub fn finish(&mut self, entry: Entry, now: Millis) -> bool {
        if !self.mark(entry.index) {
            return false;
        }
        if self.waiting.is_empty() {
            self.since = now;
        }
        self.urgent |= self.groups.end(entry.index);
        self.waiting.push(entry);
        true
    }

    /// Says what to do; `gained` is told which samples have ended, and tells what the others have
    /// gained, when a segment is made.
    pub fn next_action(
        &mut self,
        now: Millis,
        gained: impl FnOnce(&[bool]) -> Vec<DraftDelta>,
    ) -> Action {
        if let Some(segment) = &self.segment {
            return Action::Write(segment.clone());
        }
        let due = self.since + self.gather;
        let listed = !self.waiting.is_empty() && (now >= due || self.urgent);
        let idle = match self.waiting.is_empty() {
            true => Action::Idle,
            false => Action::Wait(due),
        };
        if !listed && now < self.made + KEEP {
            return idle;
        }
        self.made = now;
        let pieces = gained(&self.ended);
        if !listed && pieces.is_empty() {
            return idle;
        }
        let segment = Segment {
            seq: self.seq,
            first: self.listed.len() as u32,
            entries: self.cut(),
            deltas: pieces,
        };
        self.segment = Some(segment.clone());
        Action::Write(segment)
    }

    /// Takes as many results as fit into one segment, at least one if there is one.
    fn cut(&mut self) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = self.waiting.iter().take_while(|entry| {
            let first = bytes == 0;
            bytes += entry.text.len();
            first || bytes <= SEGMENT
        });
        let count = fits.count();
        // What is left waits no longer than it has.
        self.urgent &= count < self.waiting.len();
        self.waiting.drain(..count).collect()
    }

    /// Notes that the offered segment is at the platform.
    pub fn mark_written(&mut self) {
        if let Some(segment) = self.segment.take() {
            self.listed.extend(segment.entries);
            self.seq += 1;
        }
    }

    /// The results that are at the platform, by position.
    pub fn listed(&self) -> &[Entry] {
        &self.listed
    }

    /// Tells whether a segment was offered that may or may not be at the platform by now. Others may
    /// have read its results there.
    pub fn has_pending_write(&self) -> bool {
        self.segment.is_some()
    }

    /// Tells whether a sample has ended.
    pub fn has_ended(&self, index: u32) -> bool {
        self.ended.get(index as usize).copied().unwrap_or(true)
    }

    /// The samples of groups that are not listed whole.
    pub fn incomplete_samples(&self) -> Vec<u32> {
        self.groups
            .left_over(self.listed.iter().map(|entry| entry.index))
    }

    /// Tells whether every sample has ended and is listed.
    pub fn is_done(&self) -> bool {
        self.listed.len() == self.ended.len()
    }
}
