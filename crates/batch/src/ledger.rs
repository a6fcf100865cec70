//! The owner's view of the results of its step.

use kernel::Millis;

use crate::DraftDelta;
use crate::Entry;
use crate::Groups;

/// Maximum bytes of text in one segment: platforms accept values of up to a megabyte, which base64
/// makes a third longer.
const MAX_SEGMENT_BYTES: usize = 512 << 10;

/// Time between two writes of draft deltas while no results arrive, in milliseconds. It bounds what
/// a kill costs the longest samples of a step, apart from the time until another instance takes the
/// step over. It costs about one write a second for the few seconds of a step in which only long
/// samples run.
const CHECKPOINT_INTERVAL: Millis = 800;

/// Results and draft deltas that are written together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The number of the segment in its step; part of the key of its draft deltas.
    pub seq: u32,
    /// The position of its first result; part of the key of its results.
    pub first: u32,
    /// Its results, in the order of their positions; may be empty.
    pub entries: Vec<Entry>,
    /// Output that incomplete samples have gained since the previous segment.
    pub deltas: Vec<DraftDelta>,
}

/// What the owner has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this segment, on the condition that its keys do not exist.
    Write(Segment),
    /// Wait until this time, or until another sample ends.
    Wait(Millis),
    /// Nothing is waiting to be written.
    Idle,
}

/// The results of one step, as its owner knows them.
///
/// The write that lists a result fixes its position, so a position never changes. A segment whose
/// write may or may not have taken effect is returned again unchanged until it is known to be
/// stored: other content at the same position would let two readers see different results there.
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
    max_delay: Millis,
    groups: Groups,
    ended: Vec<bool>,
    listed: Vec<Entry>,
    pending: Vec<Entry>,
    pending_since: Millis,
    /// Whether a pending result lets the trainer continue.
    urgent: bool,
    /// The segment whose write has not been confirmed.
    unconfirmed: Option<Segment>,
    next_seq: u32,
    /// When draft deltas were last collected.
    checkpointed_at: Millis,
}

impl Ledger {
    /// Creates the ledger of a step. Results that arrive within `max_delay` milliseconds are
    /// written together, except for those that let the trainer continue.
    pub fn new(groups: Groups, max_delay: Millis) -> Self {
        Self {
            max_delay,
            ended: vec![false; groups.sample_count()],
            groups,
            listed: Vec::new(),
            pending: Vec::new(),
            pending_since: 0,
            urgent: false,
            unconfirmed: None,
            next_seq: 0,
            checkpointed_at: 0,
        }
    }

    /// Adds a segment that an earlier owner wrote; segments must be restored in order.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            if self.mark_ended(entry.index) {
                self.groups.mark_ended(entry.index);
            }
        }
        self.listed.extend(entries);
    }

    /// Sets the number of the next segment, which no earlier owner may have used.
    pub fn set_next_seq(&mut self, seq: u32) {
        self.next_seq = seq;
    }

    /// Marks a sample as ended; returns whether it was not before.
    fn mark_ended(&mut self, index: u32) -> bool {
        match self.ended.get_mut(index as usize) {
            Some(ended) => !std::mem::replace(ended, true),
            None => false,
        }
    }

    /// Adds the result of a sample; returns whether it is the first one for that sample.
    pub fn finish(&mut self, entry: Entry, now: Millis) -> bool {
        if !self.mark_ended(entry.index) {
            return false;
        }
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.urgent |= self.groups.mark_ended(entry.index);
        self.pending.push(entry);
        true
    }

    /// Returns what to do next. When a new segment may be due, `collect_deltas` is called with the
    /// flags of ended samples and returns what the other samples have gained.
    pub fn next_action(
        &mut self,
        now: Millis,
        collect_deltas: impl FnOnce(&[bool]) -> Vec<DraftDelta>,
    ) -> Action {
        if let Some(segment) = &self.unconfirmed {
            return Action::Write(segment.clone());
        }
        let due = self.pending_since + self.max_delay;
        let results_due = !self.pending.is_empty() && (now >= due || self.urgent);
        let idle = match self.pending.is_empty() {
            true => Action::Idle,
            false => Action::Wait(due),
        };
        if !results_due && now < self.checkpointed_at + CHECKPOINT_INTERVAL {
            return idle;
        }
        self.checkpointed_at = now;
        let deltas = collect_deltas(&self.ended);
        if !results_due && deltas.is_empty() {
            return idle;
        }
        let segment = Segment {
            seq: self.next_seq,
            first: self.listed.len() as u32,
            entries: self.take_entries(),
            deltas,
        };
        self.unconfirmed = Some(segment.clone());
        Action::Write(segment)
    }

    /// Removes as many pending results as fit into one segment, at least one if there is one.
    fn take_entries(&mut self) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = self.pending.iter().take_while(|entry| {
            let first = bytes == 0;
            bytes += entry.text.len();
            first || bytes <= MAX_SEGMENT_BYTES
        });
        let count = fits.count();
        // Results that do not fit stay urgent.
        self.urgent &= count < self.pending.len();
        self.pending.drain(..count).collect()
    }

    /// Records that the last returned segment is stored at the platform.
    pub fn mark_written(&mut self) {
        if let Some(segment) = self.unconfirmed.take() {
            self.listed.extend(segment.entries);
            self.next_seq += 1;
        }
    }

    /// The results that are stored at the platform, by position.
    pub fn listed(&self) -> &[Entry] {
        &self.listed
    }

    /// Returns whether there is a segment that may or may not be stored at the platform by now.
    /// Others may already have read its results there.
    pub fn has_pending_write(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// The groups of the step.
    pub fn groups(&self) -> &Groups {
        &self.groups
    }

    /// Returns whether a sample has ended.
    pub fn has_ended(&self, index: u32) -> bool {
        self.ended.get(index as usize).copied().unwrap_or(true)
    }

    /// All samples of the groups that are not completely listed.
    pub fn incomplete_samples(&self) -> Vec<u32> {
        self.groups
            .incomplete_samples(self.listed.iter().map(|entry| entry.index))
    }

    /// Returns whether every sample has ended and is listed.
    pub fn is_done(&self) -> bool {
        self.listed.len() == self.ended.len()
    }
}
