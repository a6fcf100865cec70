//! One instance's in-memory state of one journal shard.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use kernel::AttemptId;
use kernel::Map;
use kernel::Millis;

use crate::Fingerprint;
use crate::Key;
use crate::Outcome;
use crate::Record;
use crate::Segment;

/// Upper bound on the intents in one segment, and separately on its other records. It keeps a
/// segment far below the platform's maximum value size.
const MAX_BATCH_RECORDS: usize = 64;

/// Upper bound on the claims that wait for a write; further claims are refused, so their requests
/// do not run.
const MAX_WAITING_CLAIMS: usize = 4_096;

/// The state of a key.
#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// The attempt that owns the key.
    attempt: AttemptId,
    at: Millis,
    /// The segment that contains the intent.
    seq: u64,
    outcome: Option<Outcome>,
}

/// The result of an attempt's claim on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The intent is stored: only this attempt may run the request.
    Run,
    /// The request already ran, with this response.
    Ran(Outcome),
    /// Another attempt may have run the request; its outcome is not known.
    Unknown,
    /// The key was already used for a different request.
    Mismatch,
    /// The claim was rejected, or its intent was not confirmed in time; the request did not run.
    Refused,
}

/// The I/O that the caller must carry out next for a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head and every segment from this sequence number on, then call
    /// [`Shard::load_finished`], or [`Shard::load_failed`] if the read failed.
    Load {
        /// The first sequence number that has not been read.
        from: u64,
    },
    /// Write this segment if the head still has this revision, then call [`Shard::write_finished`].
    Write {
        /// The head revision that the write is conditional on; 0 if there is no head yet.
        head_revision: i64,
        /// The segment to write.
        segment: Segment,
    },
    /// Nothing to do, or an action is still in progress.
    Idle,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and produced this head revision.
    Committed(i64),
    /// The head had another revision; nothing was written.
    Conflict,
    /// No reply arrived: the write may have taken effect, may still do so, or may never.
    Unknown,
}

/// How the in-memory state relates to the platform's.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Segments may be missing; a load has to come first.
    Stale,
    /// A load is in progress.
    Loading,
    /// All segments up to `head_revision` are applied.
    Ready,
    /// A write of this segment is in progress.
    Writing(Segment),
}

/// An attempt that waits for its intent to be written.
#[derive(Clone, Debug)]
struct Claim {
    key: Key,
    fingerprint: Fingerprint,
    at: Millis,
}

/// One instance's in-memory state of one journal shard. It does no I/O: the caller carries out
/// each [`Action`] and reports the result.
///
/// # Examples
///
/// ```
/// use kernel::RequestId;
/// use once::{Action, Decision, Fingerprint, Key, Shard};
/// use once::shard::WriteResult;
///
/// let mut shard = Shard::new(60_000);
/// let key = Key::new("aarhus", "portal", "order-1")?;
/// let attempt = RequestId::from_bits(1).attempt(0);
/// shard.claim(key, Fingerprint::new("POST", "/orders", b""), attempt, 0);
/// assert_eq!(shard.next_action(0), Action::Load { from: 1 });
/// shard.load_finished(0, Vec::new());
/// let Action::Write { head_revision: 0, .. } = shard.next_action(0) else { panic!() };
/// shard.write_finished(WriteResult::Committed(5));
/// assert_eq!(shard.take_decision(attempt), Some(Decision::Run));
/// # Ok::<(), once::key::KeyError>(())
/// ```
#[derive(Debug)]
pub struct Shard {
    retention: Millis,
    phase: Phase,
    head_revision: i64,
    next_seq: u64,
    min_seq: u64,
    entries: Map<Key, Entry>,
    /// The newest intent time of each kept segment, by sequence number; decides when the segment
    /// expires.
    segment_times: BTreeMap<u64, Millis>,
    /// The keys of the intents in each kept segment, by sequence number.
    segment_keys: BTreeMap<u64, Vec<Key>>,
    /// Claims that have no decision yet.
    claims: BTreeMap<AttemptId, Claim>,
    /// The attempts of `claims` in order of arrival.
    queue: VecDeque<AttemptId>,
    /// Outcomes and releases that are not written yet.
    unwritten: VecDeque<Record>,
    decisions: Map<AttemptId, Decision>,
}

impl Shard {
    /// Creates a shard that keeps the state of a key for at least `retention` milliseconds.
    pub fn new(retention: Millis) -> Self {
        Self {
            retention,
            phase: Phase::Stale,
            head_revision: 0,
            next_seq: 1,
            min_seq: 1,
            entries: Map::default(),
            segment_times: BTreeMap::new(),
            segment_keys: BTreeMap::new(),
            claims: BTreeMap::new(),
            queue: VecDeque::new(),
            unwritten: VecDeque::new(),
            decisions: Map::default(),
        }
    }

    /// Claims the right to run a request; [`Shard::take_decision`] returns the result.
    ///
    /// `now` is wall-clock time, since the record outlives this process.
    pub fn claim(&mut self, key: Key, fingerprint: Fingerprint, attempt: AttemptId, now: Millis) {
        if self.claims.len() >= MAX_WAITING_CLAIMS {
            self.decisions.insert(attempt, Decision::Refused);
            return;
        }
        let claim = Claim {
            key,
            fingerprint,
            at: now,
        };
        if self.phase == Phase::Ready {
            match self.decide(attempt, &claim) {
                // Another instance may have released the key since the last load. Without a new
                // load this instance would report the key as in doubt until its next write.
                Some(Decision::Unknown) => self.phase = Phase::Stale,
                // Other decisions are final and need no platform call.
                Some(decision) => {
                    self.decisions.insert(attempt, decision);
                    return;
                }
                None => (),
            }
        }
        self.claims.insert(attempt, claim);
        self.queue.push_back(attempt);
    }

    /// Removes and returns the decision on an attempt, if there is one.
    pub fn take_decision(&mut self, attempt: AttemptId) -> Option<Decision> {
        self.decisions.remove(&attempt)
    }

    /// Abandons an attempt of this instance, which must not run afterwards.
    ///
    /// Its intent may already be stored, or may still be: the key is released so that it can be
    /// used again.
    pub fn abandon(&mut self, key: Key, attempt: AttemptId) {
        self.stop_waiting(attempt);
        self.release(key, attempt);
    }

    /// Drops a claim that was made on behalf of another instance.
    ///
    /// The key is not released: the other instance may have read the intent from the platform and
    /// run the request. Only the attempt's own instance knows that it will not run.
    pub fn stop_waiting(&mut self, attempt: AttemptId) {
        self.decisions.remove(&attempt);
        if self.claims.remove(&attempt).is_some() {
            self.queue.retain(|other| *other != attempt);
        }
    }

    /// Returns whether an attempt waits for a decision or has one that it has not taken.
    pub fn is_pending(&self, attempt: AttemptId) -> bool {
        self.claims.contains_key(&attempt) || self.decisions.contains_key(&attempt)
    }

    /// Records the response of a request that ran.
    pub fn record_outcome(&mut self, key: Key, outcome: Outcome) {
        self.append(Record::Done { key, outcome });
    }

    /// Releases a key whose attempt provably did not run the request.
    pub fn release(&mut self, key: Key, attempt: AttemptId) {
        self.append(Record::Release { key, attempt });
    }

    /// Queues a record for the next write.
    pub fn append(&mut self, record: Record) {
        if let Record::Done { key, outcome } = &record
            && let Some(entry) = self.entries.get_mut(key)
        {
            entry.outcome = Some(outcome.clone());
        }
        self.unwritten.push_back(record);
    }

    /// Returns the number of known keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether there is nothing to write.
    pub fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.unwritten.is_empty()
    }

    /// Returns whether the only records to write are outcomes, which no attempt waits for.
    pub fn has_only_outcomes(&self) -> bool {
        let outcome = |record: &Record| matches!(record, Record::Done { .. });
        self.claims.is_empty() && !self.unwritten.is_empty() && self.unwritten.iter().all(outcome)
    }

    /// Returns whether a release of the attempt's key waits to be written.
    fn is_releasing(&self, key: Key, attempt: AttemptId) -> bool {
        let release = Record::Release { key, attempt };
        self.unwritten.contains(&release)
    }

    /// Decides a claim; [`None`] while its key is free or about to be released.
    fn decide(&self, attempt: AttemptId, claim: &Claim) -> Option<Decision> {
        let entry = self.entries.get(&claim.key)?;
        if entry.attempt == attempt {
            return Some(Decision::Run);
        }
        // The key is about to be released: wait for that instead of reporting it as in doubt.
        if self.is_releasing(claim.key, entry.attempt) {
            return None;
        }
        if entry.fingerprint != claim.fingerprint {
            return Some(Decision::Mismatch);
        }
        Some(match &entry.outcome {
            Some(outcome) => Decision::Ran(outcome.clone()),
            None => Decision::Unknown,
        })
    }

    /// Returns the next action and marks it as in progress.
    pub fn next_action(&mut self, now: Millis) -> Action {
        if self.is_idle() {
            return Action::Idle;
        }
        match self.phase {
            Phase::Stale => {
                self.phase = Phase::Loading;
                Action::Load {
                    from: self.next_seq,
                }
            }
            Phase::Loading | Phase::Writing(_) => Action::Idle,
            Phase::Ready => self.start_write(now),
        }
    }

    fn start_write(&mut self, now: Millis) -> Action {
        let records = self.collect_records();
        if records.is_empty() {
            return Action::Idle;
        }
        let segment = Segment {
            seq: self.next_seq,
            min_seq: self.lowest_unexpired(now),
            records,
        };
        self.phase = Phase::Writing(segment.clone());
        Action::Write {
            head_revision: self.head_revision,
            segment,
        }
    }

    /// Collects the records of the next write, with at most one intent per key.
    fn collect_records(&mut self) -> Vec<Record> {
        let mut records: Vec<Record> = Vec::new();
        let mut taken: Vec<Key> = Vec::new();
        for attempt in &self.queue {
            if records.len() == MAX_BATCH_RECORDS {
                break;
            }
            let Some(claim) = self.claims.get(attempt) else {
                continue;
            };
            if taken.contains(&claim.key) {
                continue;
            }
            taken.push(claim.key);
            records.push(Record::Intent {
                key: claim.key,
                fingerprint: claim.fingerprint,
                attempt: *attempt,
                at: claim.at,
            });
        }
        let unwritten = self.unwritten.iter().take(MAX_BATCH_RECORDS).cloned();
        records.extend(unwritten);
        records
    }

    /// Returns the lowest sequence number to keep: all segments below it are older than the
    /// retention time.
    fn lowest_unexpired(&self, now: Millis) -> u64 {
        self.segment_times
            .iter()
            .find(|(_, at)| **at + self.retention >= now)
            .map_or(self.next_seq, |(seq, _)| (*seq).max(self.min_seq))
    }

    /// Applies the result of an [`Action::Load`]: the head's revision, 0 if there is no head, and
    /// the segments in order of sequence number.
    pub fn load_finished(&mut self, head_revision: i64, segments: Vec<Segment>) {
        for segment in segments {
            if segment.seq >= self.next_seq {
                self.merge(&segment);
            }
        }
        self.head_revision = head_revision;
        self.phase = Phase::Ready;
        self.decide_waiting();
    }

    /// Reports that a load failed and has to be repeated.
    pub fn load_failed(&mut self) {
        self.phase = Phase::Stale;
    }

    /// Applies the result of an [`Action::Write`].
    pub fn write_finished(&mut self, result: WriteResult) {
        let phase = std::mem::replace(&mut self.phase, Phase::Stale);
        let Phase::Writing(segment) = phase else {
            return;
        };
        // After a conflict or a lost reply the phase stays `Stale`: the next load shows whether the
        // write took effect. A write that arrives even later is harmless: it is conditional on a
        // revision, which the next write to this shard by any instance changes.
        if let WriteResult::Committed(head_revision) = result {
            self.merge(&segment);
            self.head_revision = head_revision;
            self.phase = Phase::Ready;
            self.decide_waiting();
        }
    }

    fn merge(&mut self, segment: &Segment) {
        if segment.seq > self.next_seq {
            // The missing segments have expired, and so has everything written before them.
            self.remove_segments_below(segment.seq);
        }
        let mut newest = 0;
        let mut keys = Vec::new();
        for record in &segment.records {
            self.apply(record, segment.seq);
            if let Record::Intent { key, at, .. } = record {
                newest = newest.max(*at);
                keys.push(*key);
            }
            self.unwritten.retain(|unwritten| unwritten != record);
        }
        // A segment without intents gets the time of the one before it.
        let before = self
            .segment_times
            .values()
            .next_back()
            .copied()
            .unwrap_or(0);
        self.segment_times.insert(segment.seq, newest.max(before));
        self.segment_keys.insert(segment.seq, keys);
        self.next_seq = segment.seq + 1;
        self.remove_segments_below(segment.min_seq);
    }

    fn apply(&mut self, record: &Record, seq: u64) {
        match record {
            Record::Intent {
                key,
                fingerprint,
                attempt,
                at,
            } => {
                // A writer must have read all earlier segments, so the key was free.
                self.entries.entry(*key).or_insert(Entry {
                    fingerprint: *fingerprint,
                    attempt: *attempt,
                    at: *at,
                    seq,
                    outcome: None,
                });
            }
            Record::Done { key, outcome } => {
                if let Some(entry) = self.entries.get_mut(key) {
                    entry.outcome = Some(outcome.clone());
                }
            }
            Record::Release { key, attempt } => {
                let is_pending =
                    |entry: &Entry| entry.attempt == *attempt && entry.outcome.is_none();
                if self.entries.get(key).is_some_and(is_pending) {
                    self.entries.remove(key);
                }
            }
        }
    }

    /// Removes all segments with a sequence number below `min_seq` and the keys that they contain.
    fn remove_segments_below(&mut self, min_seq: u64) {
        if min_seq <= self.min_seq {
            return;
        }
        self.min_seq = min_seq;
        let kept = self.segment_keys.split_off(&min_seq);
        let old = std::mem::replace(&mut self.segment_keys, kept);
        self.segment_times = self.segment_times.split_off(&min_seq);
        for key in old.into_values().flatten() {
            // A released key may have been claimed again in a later segment.
            if self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.seq < min_seq)
            {
                self.entries.remove(&key);
            }
        }
    }

    /// Decides every waiting claim that can be decided.
    fn decide_waiting(&mut self) {
        let mut rest = VecDeque::new();
        for attempt in std::mem::take(&mut self.queue) {
            let Some(claim) = self.claims.get(&attempt) else {
                continue;
            };
            match self.decide(attempt, claim) {
                Some(decision) => {
                    self.claims.remove(&attempt);
                    self.decisions.insert(attempt, decision);
                }
                None => rest.push_back(attempt),
            }
        }
        self.queue = rest;
    }

    /// Returns the age of the oldest known key in milliseconds.
    pub fn oldest_age(&self, now: Millis) -> Millis {
        let oldest = self.entries.values().map(|entry| entry.at).min();
        oldest.map_or(0, |at| now.saturating_sub(at))
    }
}
